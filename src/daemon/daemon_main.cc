#include "src/daemon/daemon_main.h"

#include <signal.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <exception>
#include <iostream>
#include <memory>
#include <string>
#include <thread>

#include "include/base/error.h"
#include "include/daemon/host_daemon.h"
#include "include/daemon/host_settings.h"
#include "src/daemon/log_format.h"
#include "src/store/http_store.h"

namespace toucanknot {
namespace {

namespace po = boost::program_options;

enum ExitCode { kExitOk = 0, kExitFailure = 1, kExitUsage = 2 };

po::options_description Options() {
  po::options_description options("toucanknotd: runs one entry host");
  options.add_options()("help,h", "print this text");
  options.add_options()("settings", po::value<std::string>(),
                        "settings file of the host");
  options.add_options()("check-settings", po::value<std::string>(),
                        "check a settings file and exit");
  return options;
}

// Blocks SIGTERM and SIGINT, which are received with sigwait(). Called before
// any thread starts, so that every thread inherits the mask.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Ends the process on the next signal, without waiting for requests.
void AbortAtNextSignal(sigset_t signals) {
  std::thread([signals] {
    int signal = 0;
    sigwait(&signals, &signal);
    spdlog::warn("state=aborted signal={}", signal);
    spdlog::shutdown();
    _exit(kExitFailure);
  }).detach();
}

int RunHost(const HostSettings& settings) {
  const sigset_t signals = BlockSignals();
  ConfigureLogs(settings);
  HostDaemon host(settings, std::make_shared<HttpStore>(
                                settings.store, settings.store_timeout));
  host.Start();
  int signal = 0;
  sigwait(&signals, &signal);
  AbortAtNextSignal(signals);
  host.BeginStop();
  return host.WaitStopped() ? kExitOk : kExitFailure;
}

int Run(int argc, char** argv) {
  const po::options_description options = Options();
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  if (values.count("help") > 0) {
    std::cout << options << "\n";
    return kExitOk;
  }
  if (values.count("check-settings") > 0) {
    const auto path = values["check-settings"].as<std::string>();
    LoadHostSettings(path);
    std::cout << path << ": valid\n";
    return kExitOk;
  }
  if (values.count("settings") == 0) {
    std::cerr << "toucanknotd: --settings FILE is required\n" << options;
    return kExitUsage;
  }
  return RunHost(LoadHostSettings(values["settings"].as<std::string>()));
}

}  // namespace

int DaemonMain(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const InvalidConfigError& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return kExitUsage;
  } catch (const po::error& e) {
    std::fprintf(stderr, "toucanknotd: %s\n", e.what());
    return kExitUsage;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "toucanknotd: %s\n", e.what());
    return kExitFailure;
  }
}

}  // namespace toucanknot
