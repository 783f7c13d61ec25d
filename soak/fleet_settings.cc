#include "soak/fleet_settings.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <utility>

namespace toucanknot::soak {
namespace {

// Longer than an upload takes, which counts from the head of the request.
constexpr Duration kUploadTimeout{8'000};

Route MakeRoute(const std::string& prefix,
                RequestKind kind,
                const std::string& service) {
  Route route;
  route.name = "route" + prefix;
  route.host_name = "soak.example";
  route.prefix = prefix;
  route.kind = kind;
  route.timeout = Duration(1'500);
  route.target_latency = Duration(400);
  route.priority = kind == RequestKind::kIdempotent ? 1 : 0;
  route.attempts =
      kind == RequestKind::kIdempotent ? InvariantChecker::kAttempts : 1;
  route.sticky = true;
  route.targets = {{ServiceId(service), 1}};
  return route;
}

}  // namespace

std::string HostIp(int i) {
  return fmt::format("127.0.{}.{}", 1 + i / 200, 1 + i % 200);
}

std::string VersionPath(uint64_t version) {
  return fmt::format("/version-{}/", version);
}

std::vector<Route> SoakRoutes(uint64_t version) {
  Route upload = MakeRoute("/upload/", RequestKind::kNonIdempotent, "confirm");
  upload.timeout = kUploadTimeout;
  return {MakeRoute("/lookup/", RequestKind::kIdempotent, "lookup"),
          MakeRoute("/confirm/", RequestKind::kNonIdempotent, "confirm"),
          upload,
          MakeRoute(VersionPath(version), RequestKind::kIdempotent, "lookup")};
}

std::string HostSettings(const HostSettingsInput& input) {
  boost::json::object regions;
  for (const auto& [zone, region] : input.zones)
    regions[zone.str()] = region.str();
  const auto port = [&](int offset) {
    return Endpoint{input.ip, static_cast<uint16_t>(input.first_port + offset)}
        .ToString();
  };
  return boost::json::serialize(boost::json::value{
      {"host", input.id.str()},
      {"zone", input.zone.str()},
      {"region", input.region.str()},
      {"regions", std::move(regions)},
      {"callers", port(0)},
      {"directory", port(1)},
      {"readiness", port(2)},
      {"peer_port", input.first_port + 3},
      {"metrics_port", input.first_port + 4},
      {"store", input.store.ToString()},
      {"retry_ratio", input.budget.ratio},
      {"retry_slack", input.budget.slack},
      {"retry_window", fmt::format("{}ms", input.budget.window.ms())},
      {"news_within", fmt::format("{}ms", kDrainLimit.ms())},
      {"stop_within", fmt::format("{}ms", kGracePeriod.ms())}});
}

}  // namespace toucanknot::soak
