#include "include/entry/entry_settings.h"

#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <utility>
#include <vector>

#include "include/base/error.h"
#include "include/config/json_text.h"
#include "include/config/object_reader.h"

namespace toucanknot {
namespace {

constexpr double kMaxRetries = 1e9;
constexpr int64_t kMaxMemoryMb = 1 << 20;
constexpr double kMaxLink = 1e7;
constexpr double kMaxCores = 1'024;
constexpr int64_t kMaxPort = 65'535;
constexpr int64_t kMaxDescriptors = 1 << 30;
// A year; sums of a time and a duration below it do not overflow.
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
      ms <= kMaxDurationMs) {
    return Duration(std::llround(ms));
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
  out.memory_bytes = in.Integer("memory_mb", 16, kMaxMemoryMb, 256) << 20;
  out.link_mbps = in.Number("link_mbps", 0.001, kMaxLink, out.link_mbps);
  out.cpu_share = in.Number("cpu_share", 0.001, kMaxCores, out.cpu_share);
  out.stop_within = Time(in, "stop_within", out.stop_within);
  out.lookup_lifetime = Time(in, "lookup_lifetime", out.lookup_lifetime);
  out.retry_ratio = in.Number("retry_ratio", 0, 1, out.retry_ratio);
  out.retry_slack = in.Number("retry_slack", 0, kMaxRetries, out.retry_slack);
  out.retry_window = Time(in, "retry_window", out.retry_window);
  if (in.Member("revoke_within") != nullptr)
    out.revoke_within = Time(in, "revoke_within", Duration(0));
  out.cap_window = Time(in, "cap_window", out.cap_window);
  out.cap_over = in.Number("cap_over", 0, 1, out.cap_over);
  out.cap_slack = in.Number("cap_slack", 0, kMaxRetries, out.cap_slack);
  out.pace_servers = in.Flag("pace_servers", out.pace_servers);
  out.max_descriptors =
      in.Integer("max_descriptors", 0, kMaxDescriptors, out.max_descriptors);
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
