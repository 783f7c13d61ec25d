#include "src/standin/standin_main.h"

#include <signal.h>

#include <boost/program_options.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "include/base/error.h"
#include "src/standin/standin_fleet.h"

namespace toucanknot {
namespace {

namespace po = boost::program_options;

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    throw Error("cannot read " + path);
  return {std::istreambuf_iterator<char>(in), {}};
}

Endpoint ParseEndpoint(const std::string& text) {
  const auto endpoint = Endpoint::Parse(text);
  if (!endpoint)
    throw Error("not an IP address and a port: " + text);
  return *endpoint;
}

int Run(int argc, char** argv) {
  po::options_description options(
      "toucanknot-standin: stand-ins for the platform and backend servers");
  options.add_options()("help,h", "print this text");
  options.add_options()("fleet", po::value<std::string>()->required(),
                        "configuration file of the fleet");
  options.add_options()(
      "store", po::value<std::string>()->default_value("127.0.0.1:17000"),
      "address of the store");
  options.add_options()(
      "control", po::value<std::string>()->default_value("127.0.0.1:17001"),
      "address of the control listener");
  options.add_options()("workers", po::value<int>()->default_value(2),
                        "worker threads");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  if (values.count("help") > 0) {
    std::cout << options << "\n";
    return 0;
  }
  po::notify(values);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  StandinFleet fleet(values["workers"].as<int>(),
                     ReadFile(values["fleet"].as<std::string>()));
  fleet.Start(ParseEndpoint(values["store"].as<std::string>()));
  fleet.StartControl(ParseEndpoint(values["control"].as<std::string>()));
  std::cout << "ready" << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

}  // namespace

int StandinMain(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const po::error& e) {
    std::cerr << "toucanknot-standin: " << e.what() << "\n";
    return 2;
  } catch (const std::exception& e) {
    std::cerr << "toucanknot-standin: " << e.what() << "\n";
    return 1;
  }
}

}  // namespace toucanknot
