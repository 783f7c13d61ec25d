#include "src/daemon/prober.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <utility>
#include <vector>

#include "src/http/one_shot.h"

namespace toucanknot {
namespace {

// A probe that takes longer counts as failed.
constexpr Duration kProbeTimeout{1'000};
constexpr uint64_t kMaxReportBytes = 16 << 10;
constexpr Duration kConfigPollInterval{100};

struct Target {
  ServiceEntryPtr entry;
  ServerId server;
};

std::vector<Target> TargetsIn(const RoutingTables& tables,
                              const RegionId& region) {
  std::vector<Target> targets;
  for (const auto& [name, entry] : tables.services) {
    for (const BackendServer& it : entry->service.servers) {
      if (tables.config->RegionOf(it.zone) == region)
        targets.push_back({entry, it.id});
    }
  }
  return targets;
}

bool BoolOr(const boost::json::object& in, const char* key, bool fallback) {
  const auto* value = in.if_contains(key);
  return value && value->is_bool() ? value->get_bool() : fallback;
}

int64_t CountOrZero(const boost::json::object& in, const char* key) {
  const auto* value = in.if_contains(key);
  return value && value->is_int64() ? std::max<int64_t>(value->get_int64(), 0)
                                    : 0;
}

}  // namespace

std::optional<LoadReport> ParseLoadReport(const ServerId& server,
                                          const std::string& body) {
  boost::system::error_code ec;
  const boost::json::value value = boost::json::parse(body, ec);
  const auto* in = value.if_object();
  if (ec || !in)
    return std::nullopt;
  LoadReport report;
  report.server = server;
  report.healthy = BoolOr(*in, "healthy", true);
  report.leaving = BoolOr(*in, "leaving", false);
  report.running = static_cast<int>(CountOrZero(*in, "running"));
  report.waiting = static_cast<int>(CountOrZero(*in, "waiting"));
  report.age = Duration(CountOrZero(*in, "age_ms"));
  return report;
}

ServerProbe ToServerProbe(const ServerId& server,
                          const ExchangeResult& result,
                          const std::optional<LoadReport>& load) {
  ServerProbe probe;
  probe.server = server;
  const bool broke_off = !load && result.response.body.starts_with('{');
  probe.healthy = result.end == AttemptEnd::kAnswered && !broke_off &&
                  result.response.status / 100 == 2 && (!load || load->healthy);
  probe.leaving = load && load->leaving;
  if (load)
    probe.age = load->age;
  return probe;
}

Prober::Prober(WorkerPool& workers,
               Sender& sender,
               const HostTables& tables,
               ResultFn on_result)
    : workers_(workers),
      sender_(sender),
      tables_(tables),
      on_result_(std::move(on_result)) {}

void Prober::Start(ZoneId own_zone) {
  boost::asio::co_spawn(workers_.loop(0), Loop(std::move(own_zone)),
                        boost::asio::detached);
}

boost::asio::awaitable<void> Prober::Loop(ZoneId own_zone) {
  int next = 0;
  for (;;) {
    const RoutingTablesPtr tables = tables_.Get();
    const auto targets =
        tables ? TargetsIn(*tables, tables->config->RegionOf(own_zone))
               : std::vector<Target>();
    if (targets.empty()) {
      co_await SleepFor(kConfigPollInterval);
      continue;
    }
    const Instant start = SteadyNow();
    const Duration interval = tables->tunables.probe_interval;
    for (size_t i = 0; i < targets.size(); ++i) {
      boost::asio::co_spawn(workers_.loop(next++ % workers_.size()),
                            Probe(targets[i].entry, targets[i].server),
                            boost::asio::detached);
      const Duration due = interval * static_cast<int64_t>(i + 1) /
                           static_cast<int64_t>(targets.size());
      co_await SleepFor(start + due - SteadyNow());
    }
  }
}

boost::asio::awaitable<void> Prober::Probe(ServiceEntryPtr entry,
                                           ServerId server) {
  const Endpoint endpoint = entry->servers.at(server);
  HttpRequest request;
  request.method = "GET";
  request.target = entry->service.health_path;
  request.fields.Add("Host", endpoint.ToString());
  ExchangeOptions options;
  options.deadline = SteadyNow() + kProbeTimeout;
  options.max_answer_bytes = kMaxReportBytes;
  const ExchangeResult result =
      co_await sender_.Probe(entry, endpoint, std::move(request), options);
  std::optional<LoadReport> load;
  if (result.end == AttemptEnd::kAnswered)
    load = ParseLoadReport(server, result.response.body);
  on_result_(*entry, ToServerProbe(server, result, load), load);
}

}  // namespace toucanknot
