#include "src/load/load_main.h"

#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <exception>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "include/base/error.h"
#include "include/config/json_text.h"
#include "include/store/http_exchange.h"
#include "src/load/load_run.h"

namespace toucanknot {
namespace {

namespace po = boost::program_options;

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr Duration kLedgerTimeout{5'000};

Endpoint ParseEndpoint(const std::string& text) {
  const auto endpoint = Endpoint::Parse(text);
  if (!endpoint)
    throw Error("not an IP address and a port: " + text);
  return *endpoint;
}

po::options_description Options() {
  po::options_description options("toucanknot-load: bounded load on loopback");
  options.add_options()("help,h", "print this text");
  options.add_options()(
      "host", po::value<std::vector<std::string>>()->required(),
      "entry host for look-ups of the callers; may be repeated");
  options.add_options()("service",
                        po::value<std::vector<std::string>>()->required(),
                        "service to send requests to; may be repeated");
  options.add_options()("rate", po::value<double>()->default_value(50),
                        "new work items per second, for each service");
  options.add_options()(
      "run-once", po::value<double>()->default_value(0.2),
      "fraction of the work items that must run at most once");
  options.add_options()("seconds", po::value<int64_t>()->default_value(10),
                        "how long new work items are started, in seconds");
  options.add_options()("answer-bytes",
                        po::value<size_t>()->default_value(1'000),
                        "size of the responses");
  options.add_options()("request-bytes",
                        po::value<size_t>()->default_value(200),
                        "size of the bodies of run-once requests");
  options.add_options()("control", po::value<std::string>(),
                        "control address of toucanknot-standin, to count "
                        "the runs of each work item");
  options.add_options()("seed", po::value<uint64_t>()->default_value(1),
                        "seed of the random number generators");
  return options;
}

LoadOptions ParseOptions(const po::variables_map& values) {
  LoadOptions options;
  options.groups.emplace_back();
  for (const auto& it : values["host"].as<std::vector<std::string>>())
    options.groups.front().push_back(ParseEndpoint(it));
  for (const auto& it : values["service"].as<std::vector<std::string>>()) {
    LoadStream stream;
    stream.service = it;
    stream.per_second = values["rate"].as<double>();
    stream.run_once_share = values["run-once"].as<double>();
    stream.response_bytes = values["answer-bytes"].as<size_t>();
    stream.request_bytes = values["request-bytes"].as<size_t>();
    options.streams.push_back(std::move(stream));
  }
  options.duration = Duration::Seconds(values["seconds"].as<int64_t>());
  options.seed = values["seed"].as<uint64_t>();
  return options;
}

// Fetches the number of runs of a work item from the stand-in servers.
int RunsOf(const Endpoint& control, const std::string& work_id) {
  HttpClientRequest request;
  request.target = "/v1/ledger?work=" + work_id;
  const HttpClientResult result = Exchange(control, request, kLedgerTimeout);
  if (result.stage != HttpClientStage::kCompleted)
    throw Error("cannot query the ledger of the stand-in servers: " +
                result.error);
  return boost::json::parse(result.body).at("runs").to_number<int>();
}

int Run(int argc, char** argv) {
  const po::options_description options = Options();
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  if (values.count("help") > 0) {
    std::cout << options << "\n";
    return 0;
  }
  po::notify(values);
  LoadRun run(ParseOptions(values));
  run.Start();
  run.Wait();
  std::function<int(const std::string&)> runs_of;
  if (values.count("control") > 0) {
    const Endpoint control = ParseEndpoint(values["control"].as<std::string>());
    runs_of = [control](const std::string& id) { return RunsOf(control, id); };
  }
  const boost::json::object summary = run.results().Summary(runs_of);
  std::cout << WriteJsonLine(summary) << std::endl;
  for (const char* it :
       {"lost", "doubled", "wrong_answers", "cut_answers", "false_refusals"}) {
    const auto* value = summary.if_contains(it);
    if (value && value->to_number<int64_t>() != 0)
      return kExitFailure;
  }
  return 0;
}

}  // namespace

int LoadMain(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "toucanknot-load: " << e.what() << "\n";
    return kExitUsage;
  }
}

}  // namespace toucanknot
