#include "src/demo/demo_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <iterator>
#include <thread>
#include <utility>

#include "include/base/error.h"
#include "include/config/config_text.h"
#include "include/config/json_text.h"
#include "include/store/change_writer.h"
#include "src/store/http_store.h"

namespace toucanknot {
namespace {

// Not a port of the example settings, so that both can run at the same time.
const Endpoint kStore{"127.0.0.1", 17100};
constexpr uint16_t kAdminPort = 16100;
constexpr Duration kServiceTime{40};
// How long callers keep repeating a request that may have run.
constexpr Duration kCallerPatience{6'000};
constexpr Duration kConfigTimeout{11'000};
constexpr Duration kPollInterval{5};
constexpr Duration kWarmUpTime{1'000};
constexpr Duration kStepTime{1'500};
constexpr int kHostWorkers = 1;
constexpr int kStandinWorkers = 3;

void Sleep(Duration d) {
  std::this_thread::sleep_for(std::chrono::milliseconds(d.ms()));
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    throw Error("cannot read " + path + "; use --examples DIR");
  return {std::istreambuf_iterator<char>(in), {}};
}

HostSettings SettingsFor(const EntryHost& host, int number) {
  HostSettings settings;
  settings.host = host.id;
  settings.zone = host.zone;
  settings.callers = host.address;
  settings.peers = host.peer_address;
  settings.admin = {host.address.ip,
                    static_cast<uint16_t>(kAdminPort + number)};
  settings.store = kStore;
  settings.fleet_keys = {{1, "demonstration-key-0123456789"}};
  settings.workers = kHostWorkers;
  return settings;
}

int SlotsIn(const FleetConfig& config, const RegionId& region) {
  int slots = 0;
  for (const Service& service : config.services) {
    for (const BackendServer& it : service.servers)
      slots += config.RegionOf(it.zone) == region ? it.slots : 0;
  }
  return slots;
}

int SlotsOf(const Service& service) {
  int slots = 0;
  for (const BackendServer& it : service.servers)
    slots += it.slots;
  return slots;
}

}  // namespace

DemoRun::DemoRun(Options options, std::ostream& out)
    : options_(std::move(options)),
      out_(out),
      config_text_(ReadFile(options_.examples + "/fleet-" +
                            options_.deployment + ".json")) {}

DemoRun::~DemoRun() = default;

bool DemoRun::Run() {
  out_ << std::unitbuf;
  fleet_ = std::make_unique<StandinFleet>(kStandinWorkers, config_text_);
  for (const auto& [id, server] : fleet_->servers()) {
    BackendFaults faults;
    faults.service_time = kServiceTime;
    server->SetFaults(faults);
  }
  fleet_->Start(kStore);
  StartHosts();
  StartLoad();
  SampleLoad(kStepTime);
  DrainServer();
  SampleLoad(kStepTime);
  config_ms_ =
      ChangeConfig("shorter look-up lifetime", [](FleetConfig& config) {
        config.defaults.lookup_lifetime = Duration(3'000);
      });
  out_ << fmt::format(
      "a changed default became active on all hosts after {} ms\n", config_ms_);
  SampleLoad(kStepTime);
  StopHost();
  SampleLoad(kStepTime);
  KillHost();
  out_ << "waiting for callers to finish\n";
  load_->Wait();
  return Report();
}

void DemoRun::StartHosts() {
  int number = 0;
  for (const EntryHost& it : fleet_->config()->hosts) {
    const HostSettings settings = SettingsFor(it, ++number);
    auto host = std::make_unique<HostDaemon>(
        settings,
        std::make_shared<HttpStore>(settings.store, settings.store_timeout));
    host->Start();
    hosts_[it.id] = std::move(host);
  }
  const Instant limit = SteadyNow() + kConfigTimeout;
  const auto ready = [](const auto& it) {
    return it.second->ConfigVersion() > 0;
  };
  while (!std::all_of(hosts_.begin(), hosts_.end(), ready)) {
    if (SteadyNow() > limit)
      throw Error("timed out waiting for the entry hosts' configuration");
    Sleep(kPollInterval);
  }
  Sleep(kWarmUpTime);
  out_ << fmt::format("{} entry hosts and {} backend servers are up\n",
                      hosts_.size(), fleet_->servers().size());
}

void DemoRun::StartLoad() {
  LoadOptions load;
  const FleetConfig& config = *fleet_->config();
  for (const Region& region : config.regions) {
    std::vector<Endpoint> group;
    for (const EntryHost& it : config.hosts) {
      if (config.RegionOf(it.zone) == region.id)
        group.push_back(it.address);
    }
    // The hosts of other regions are the fallback if the own region's fail.
    for (const EntryHost& it : config.hosts) {
      if (config.RegionOf(it.zone) != region.id)
        group.push_back(it.address);
    }
    load.groups.push_back(std::move(group));
  }
  for (const Service& it : config.services) {
    LoadStream stream;
    stream.service = it.id.str();
    stream.per_second = options_.load * SlotsOf(it) / kServiceTime.seconds();
    load.streams.push_back(std::move(stream));
  }
  load.duration = options_.duration;
  load.seed = options_.seed;
  load.patience = kCallerPatience;
  load_ = std::make_unique<LoadRun>(load);
  load_->Start();
  out_ << fmt::format("generating load of {:.0f} % of all slots for {:.0f} s\n",
                      options_.load * 100, options_.duration.seconds());
}

void DemoRun::SampleLoad(Duration d) {
  const Instant end = SteadyNow() + d;
  while (SteadyNow() < end) {
    std::map<RegionId, int> running;
    for (const auto& [id, server] : fleet_->servers()) {
      const RegionId region = fleet_->config()->RegionOf(server->spec().zone);
      running[region] += server->running();
    }
    for (const auto& [region, n] : running)
      peak_slots_in_use_[region] = std::max(peak_slots_in_use_[region], n);
    Sleep(kPollInterval);
  }
}

int64_t DemoRun::ChangeConfig(const std::string& reason,
                              const std::function<void(FleetConfig&)>& edit) {
  Store& store = *fleet_->store();
  const RootSnapshot base = ReadRootSnapshot(store);
  FleetConfig next = *ReadConfig(store);
  edit(next);
  Change change;
  change.id = NewChangeId(base.revision, static_cast<uint64_t>(UnixMillis()));
  change.author = "demonstration";
  change.unix_ms = UnixMillis();
  change.reason = reason;
  change.summary = reason;
  change.config_text = WriteFleetConfig(next);
  const Instant start = SteadyNow();
  const ChangeResult result = ChangeWriter(store).Write(base, change);
  if (result.outcome != ChangeOutcome::kApplied)
    throw Error("the configuration change was not committed");
  const auto in_force = [&](const auto& it) {
    return it.second->ConfigVersion() >= result.version;
  };
  while (!std::all_of(hosts_.begin(), hosts_.end(), in_force)) {
    if (SteadyNow() - start > kConfigTimeout)
      return -1;
    Sleep(kPollInterval);
  }
  return (SteadyNow() - start).ms();
}

void DemoRun::DrainServer() {
  const ServerId id = fleet_->config()->services.front().servers.front().id;
  const Instant start = SteadyNow();
  ChangeConfig("maintenance", [&](FleetConfig& config) {
    ConfigException drain;
    drain.id = "demo-drain";
    drain.scope.server = id;
    drain.reason = "maintenance";
    drain.author = "demonstration";
    drain.values = {{"drain", "true"}};
    config.exceptions.push_back(std::move(drain));
  });
  SampleLoad(kStepTime * 2);
  const Instant last = fleet_->Find(id)->last_arrival();
  drain_ms_ = std::max((last - start).ms(), int64_t{0});
  out_ << fmt::format(
      "{} is drained; its last request arrived {} ms after the "
      "change\n",
      id.str(), drain_ms_);
}

void DemoRun::StopHost() {
  const auto it = hosts_.begin();
  const Instant start = SteadyNow();
  it->second->BeginStop();
  stop_clean_ = it->second->WaitStopped();
  stop_ms_ = (SteadyNow() - start).ms();
  out_ << fmt::format("{} was stopped gracefully in {} ms{}\n", it->first.str(),
                      stop_ms_, stop_clean_ ? "" : ", with requests cut");
  hosts_.erase(it);
}

void DemoRun::KillHost() {
  const auto it = std::prev(hosts_.end());
  out_ << fmt::format("{} was killed\n", it->first.str());
  hosts_.erase(it);
}

bool DemoRun::Report() {
  boost::json::object summary = load_->results().Summary(
      [this](const std::string& id) { return fleet_->ledger().RunsOf(id); });
  summary["deployment"] = options_.deployment;
  summary["config_seconds"] = static_cast<double>(config_ms_) / 1'000;
  summary["drain_seconds"] = static_cast<double>(drain_ms_) / 1'000;
  summary["graceful_stop_seconds"] = static_cast<double>(stop_ms_) / 1'000;
  PrintTable(summary);
  out_ << WriteJsonLine(summary) << std::endl;
  const auto none = [&](const char* key) {
    return summary.at(key).to_number<int64_t>() == 0;
  };
  return none("lost") && none("doubled") && none("wrong_answers") &&
         none("cut_answers") && none("false_refusals") && stop_clean_ &&
         config_ms_ >= 0;
}

void DemoRun::PrintTable(const boost::json::object& summary) {
  out_ << "\n";
  for (const auto& [key, value] : summary)
    out_ << fmt::format("  {:<24}{:>14}\n", std::string(key),
                        WriteJsonLine(value));
  for (const auto& [region, peak] : peak_slots_in_use_) {
    const int slots = SlotsIn(*fleet_->config(), region);
    out_ << fmt::format("  {:<24}{:>13}%\n", "min headroom " + region.str(),
                        100 * (slots - peak) / std::max(slots, 1));
  }
  out_ << "\n";
}

}  // namespace toucanknot
