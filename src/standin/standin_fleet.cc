#include "src/standin/standin_fleet.h"

#include <boost/json.hpp>
#include <utility>

#include "include/config/config_text.h"
#include "include/store/change_writer.h"

namespace toucanknot {
namespace {

constexpr uint64_t kMaxControlBytes = 64 << 10;

boost::json::object ParseBody(const HttpRequest& request) {
  return boost::json::parse(request.body).as_object();
}

int64_t NumberOr(const boost::json::object& in,
                 const char* key,
                 int64_t fallback) {
  const auto* value = in.if_contains(key);
  return value ? value->to_number<int64_t>() : fallback;
}

bool FlagOr(const boost::json::object& in, const char* key, bool fallback) {
  const auto* value = in.if_contains(key);
  return value ? value->as_bool() : fallback;
}

void ApplyFaults(const boost::json::object& in, StandinBackendServer& server) {
  BackendFaults faults = server.faults();
  faults.service_time =
      Duration(NumberOr(in, "service_ms", faults.service_time.ms()));
  faults.leaving = FlagOr(in, "leaving", faults.leaving);
  faults.misleading = FlagOr(in, "misleading", faults.misleading);
  faults.failing = FlagOr(in, "failing", faults.failing);
  if (FlagOr(in, "silent", false))
    faults.silent_before = SteadyNow();
  server.SetFaults(faults);
  if (const int64_t ms = NumberOr(in, "crash_ms", 0))
    server.Crash(Duration(ms));
}

void WriteFirstConfig(MemoryStore& store, const FleetConfig& config) {
  Change change;
  change.author = "stand-in";
  change.reason = "first configuration";
  change.summary = "written by the stand-in";
  change.unix_ms = UnixMillis();
  change.config_text = WriteFleetConfig(config);
  change.id = NewChangeId(0, 1);
  ChangeWriter(store).Write(ReadRootSnapshot(store), change);
}

}  // namespace

StandinFleet::StandinFleet(int workers, const std::string& config_text)
    : config_(ParseFleetConfig(config_text, "configuration")),
      store_(std::make_shared<MemoryStore>()),
      ledger_(std::make_shared<WorkLedger>()),
      workers_(workers) {
  WriteFirstConfig(*store_, *config_);
  uint64_t seed = 1;
  for (const Service& service : config_->services) {
    for (const BackendServer& it : service.servers) {
      servers_[it.id] =
          std::make_shared<StandinBackendServer>(workers_, it, ledger_, seed++);
    }
  }
  SetHostList({});
}

StandinFleet::~StandinFleet() {
  store_->SetDown(true);
  workers_.Stop();
  for (const auto& [id, server] : servers_)
    server->Close();
}

void StandinFleet::Start(const Endpoint& store) {
  platform_ = std::make_unique<PlatformServer>(workers_, store_);
  platform_->Listen(store);
  for (const auto& [id, server] : servers_)
    server->Start();
}

Endpoint StandinFleet::StartControl(const Endpoint& control) {
  control_ = std::make_unique<HttpServer>(
      workers_, HttpServerLimits(),
      [](std::string_view) { return kMaxControlBytes; },
      [this](HttpRequest request) {
        return HandleControl(std::move(request));
      });
  return control_->Listen(control);
}

StandinBackendServer* StandinFleet::Find(const ServerId& id) {
  const auto it = servers_.find(id);
  return it == servers_.end() ? nullptr : it->second.get();
}

void StandinFleet::SetHostList(const std::vector<std::string>& leaving) {
  std::vector<PlatformHost> hosts;
  const auto add = [&](const std::string& id) {
    const bool is_leaving =
        std::find(leaving.begin(), leaving.end(), id) != leaving.end();
    hosts.push_back({id, is_leaving});
  };
  for (const EntryHost& it : config_->hosts)
    add(it.id.str());
  for (const auto& [id, server] : servers_)
    add(id.str());
  store_->SetHosts(std::move(hosts));
}

boost::asio::awaitable<HttpResponse> StandinFleet::HandleControl(
    HttpRequest request) {
  const std::string_view path = TargetPath(request.target);
  if (path == "/v1/faults")
    co_return HandleFaults(request);
  if (path == "/v1/store")
    co_return HandleStoreFaults(request);
  if (path == "/v1/ledger")
    co_return HandleLedger(request);
  co_return TextResponse(404, "use /v1/faults, /v1/store or /v1/ledger");
}

HttpResponse StandinFleet::HandleFaults(const HttpRequest& request) {
  const boost::json::object in = ParseBody(request);
  const std::string id(in.at("server").as_string());
  int n = 0;
  for (const auto& [name, server] : servers_) {
    if (id != "*" && id != name.str())
      continue;
    ApplyFaults(in, *server);
    ++n;
  }
  return n > 0 ? TextResponse(200, "switched")
               : TextResponse(404, "no such server");
}

HttpResponse StandinFleet::HandleStoreFaults(const HttpRequest& request) {
  const boost::json::object in = ParseBody(request);
  if (in.contains("down"))
    store_->SetDown(in.at("down").as_bool());
  store_->SetSlow(Duration(NumberOr(in, "slow_ms", 0)));
  if (const int64_t n = NumberOr(in, "lose_answers", 0))
    store_->LoseResponses(static_cast<int>(n));
  return TextResponse(200, "switched");
}

HttpResponse StandinFleet::HandleLedger(const HttpRequest& request) {
  const std::string work = QueryValue(request.target, "work");
  boost::json::object out = {{"distinct", ledger_->CountDistinct()},
                             {"doubled", ledger_->CountDoubled()}};
  if (!work.empty())
    out["runs"] = ledger_->RunsOf(work);
  return JsonResponse(200, boost::json::serialize(out));
}

}  // namespace toucanknot
