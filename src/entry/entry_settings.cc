#include "include/entry/entry_settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <limits>
#include <utility>
#include <vector>

#include "include/base/error.h"
#include "include/config/json_text.h"
#include "include/config/object_reader.h"

namespace toucanknot {
namespace {

// Higher figures are kept as these, with which no product overflows. A host
// cannot make use of more.
constexpr double kMostRetries = 1e9;
constexpr int64_t kMostMemoryMb = 1 << 30;
constexpr double kMostLink = 1e9;
constexpr double kMostCores = 1e6;
constexpr int64_t kMostDescriptors = 1 << 30;
// Lower figures of the link and the processor are kept as this one.
constexpr double kLeastPart = 0.001;
constexpr int64_t kMaxPort = 65'535;
// A year; sums of a time and a duration up to it do not overflow.
constexpr double kMaxDurationMs = 365.0 * 24 * 3'600 * 1'000;

Duration Time(ObjectReader& in, std::string_view key, Duration fallback) {
  const std::string text = in.Text(key, std::to_string(fallback.ms()) + "ms");
  try {
    return ParseDuration(text);
  } catch (const Error&) {
    in.AddProblem(key, "a duration such as \"1500ms\" or \"2.5s\"");
    return fallback;
  }
}

// Reads a number that is not negative; one above `most` is kept as `most`.
double Amount(ObjectReader& in,
              std::string_view key,
              double most,
              double fallback) {
  return std::min(
      in.Number(key, 0, std::numeric_limits<double>::max(), fallback), most);
}

// The same for whole numbers, from `min` on.
int64_t Count(ObjectReader& in,
              std::string_view key,
              int64_t min,
              int64_t most,
              int64_t fallback) {
  return std::min(
      in.Integer(key, min, std::numeric_limits<int64_t>::max(), fallback),
      most);
}

// Reads an object that maps zone names to regions.
void ReadRegions(ObjectReader& in, EntrySettings& out) {
  const boost::json::value* member = in.Member("regions");
  if (member == nullptr || !member->is_object()) {
    in.AddProblem("regions", "an object with the region of each zone");
    return;
  }
  for (const auto& it : member->get_object()) {
    if (!it.value().is_string()) {
      in.AddProblem("regions", "names of regions");
      return;
    }
    out.regions[ZoneId(it.key())] =
        RegionId(std::string(it.value().get_string()));
  }
}

}  // namespace

Duration ParseDuration(std::string_view text) {
  double n = 0;
  const auto [end, ec] = std::from_chars(text.begin(), text.end(), n);
  const std::string_view unit(end, text.end() - end);
  const double ms = unit == "s" ? n * 1'000 : n;
  if (ec == std::errc() && (unit == "ms" || unit == "s") && ms >= 0 &&
      std::isfinite(n)) {
    return Duration(std::llround(std::min(ms, kMaxDurationMs)));
  }
  throw Error("\"" + std::string(text) + "\" is not a duration");
}

EntrySettings ParseEntrySettings(std::string_view text,
                                 const std::string& source) {
  const boost::json::value json = ParseJson(text, source);
  std::vector<Problem> problems;
  EntrySettings out;
  ObjectReader in("", json, problems);
  out.host = HostId(in.Name("host"));
  out.zone = ZoneId(in.Name("zone"));
  out.region = RegionId(in.Name("region"));
  ReadRegions(in, out);
  out.callers = in.Address("callers");
  out.readiness = in.Address("readiness");
  out.directory = in.Address("directory");
  out.store = in.Address("store");
  out.peers.ip = out.callers.ip;
  out.peers.port = static_cast<uint16_t>(in.Integer("peer_port", 1, kMaxPort));
  // No port, or 0, disables metrics.
  const int64_t metrics_port = in.Integer("metrics_port", 0, kMaxPort, 0);
  if (metrics_port > 0) {
    out.metrics = Endpoint{out.callers.ip, static_cast<uint16_t>(metrics_port)};
  }
  out.heartbeat = Time(in, "server_heartbeat", out.heartbeat);
  out.news_within = Time(in, "news_within", out.news_within);
  out.memory_bytes = Count(in, "memory_mb", 16, kMostMemoryMb, 256) << 20;
  out.link_mbps =
      std::max(Amount(in, "link_mbps", kMostLink, out.link_mbps), kLeastPart);
  out.cpu_share =
      std::max(Amount(in, "cpu_share", kMostCores, out.cpu_share), kLeastPart);
  out.stop_within = Time(in, "stop_within", out.stop_within);
  out.lookup_lifetime = Time(in, "lookup_lifetime", out.lookup_lifetime);
  out.retry_ratio = Amount(in, "retry_ratio", kMostRetries, out.retry_ratio);
  out.retry_slack = Amount(in, "retry_slack", kMostRetries, out.retry_slack);
  out.retry_window = Time(in, "retry_window", out.retry_window);
  if (in.Member("revoke_within") != nullptr)
    out.revoke_within = Time(in, "revoke_within", Duration(0));
  out.cap_window = Time(in, "cap_window", out.cap_window);
  out.cap_over = Amount(in, "cap_over", kMostRetries, out.cap_over);
  out.cap_slack = Amount(in, "cap_slack", kMostRetries, out.cap_slack);
  out.pace_servers = in.Flag("pace_servers", out.pace_servers);
  out.max_descriptors =
      Count(in, "max_descriptors", 0, kMostDescriptors, out.max_descriptors);
  in.Finish();
  if (!problems.empty())
    throw InvalidConfigError(source, std::move(problems));
  return out;
}

EntrySettings LoadEntrySettings(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    throw Error("cannot read " + path);
  const std::string text((std::istreambuf_iterator<char>(in)),
                         std::istreambuf_iterator<char>());
  return ParseEntrySettings(text, path);
}

}  // namespace toucanknot
