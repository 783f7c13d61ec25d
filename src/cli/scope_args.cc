#include "src/cli/scope_args.h"

#include <boost/json/value.hpp>
#include <charconv>
#include <string_view>

#include "include/base/utc_time.h"
#include "include/config/json_text.h"
#include "include/config/tunable_table.h"

namespace toucanknot {
namespace {

template <typename T>
std::optional<T> ScopePart(const CliArgs& args, const char* option) {
  const auto text = args.Value(option);
  return text ? std::optional<T>(T(*text)) : std::nullopt;
}

// Joins the names and values of the scope's parts that are set.
std::string JoinParts(const Scope& scope,
                      const char* between,
                      const char* separator) {
  std::string text;
  const auto add = [&](const char* name, const auto& part) {
    if (part)
      text += (text.empty() ? "" : separator) + std::string(name) + between +
              part->str();
  };
  add("service", scope.service);
  add("region", scope.region);
  add("zone", scope.zone);
  add("host", scope.host);
  add("server", scope.server);
  return text;
}

int64_t UnitMillis(char unit) {
  switch (unit) {
    case 's':
      return 1000;
    case 'm':
      return 60'000;
    case 'h':
      return 3'600'000;
    case 'd':
      return 86'400'000;
    default:
      return 0;
  }
}

// Parses a duration such as "+90m" into milliseconds; empty when malformed.
std::optional<int64_t> ParseDuration(std::string_view text) {
  if (text.size() < 3 || text.front() != '+')
    return std::nullopt;
  const int64_t unit = UnitMillis(text.back());
  const char* end = text.data() + text.size() - 1;
  int32_t n = 0;
  const auto [rest, ec] = std::from_chars(text.data() + 1, end, n);
  if (unit == 0 || ec != std::errc() || rest != end || n <= 0)
    return std::nullopt;
  return n * unit;
}

}  // namespace

std::vector<CliOption> ScopeOptions() {
  return {{"service", "ID", "part of the scope"},
          {"region", "ID", "part of the scope"},
          {"zone", "ID", "part of the scope"},
          {"host", "ID", "part of the scope: an entry host"},
          {"server", "ID", "part of the scope: a backend server"}};
}

Scope ScopeFromArgs(const CliArgs& args) {
  Scope scope;
  scope.service = ScopePart<ServiceId>(args, "service");
  scope.region = ScopePart<RegionId>(args, "region");
  scope.zone = ScopePart<ZoneId>(args, "zone");
  scope.host = ScopePart<HostId>(args, "host");
  scope.server = ScopePart<ServerId>(args, "server");
  if (scope == Scope())
    throw UsageError(
        "a scope is required: --service, --region, --zone, --host "
        "or --server");
  return scope;
}

std::string DescribeScope(const Scope& scope) {
  return JoinParts(scope, " ", ", ");
}

std::string MakeExceptionId(const std::string& prefix, const Scope& scope) {
  return prefix + "-" + JoinParts(scope, "-", "-");
}

TunableValue ParseTunable(const std::string& text) {
  const size_t at = text.find('=');
  if (at == std::string::npos)
    throw UsageError("found " + text + ", valid: KEY=VALUE");
  return ParseTunable(text.substr(0, at), text.substr(at + 1));
}

TunableValue ParseTunable(const std::string& key, const std::string& value) {
  const TunableSpec* spec = FindTunable(key);
  if (!spec)
    throw UsageError(key + ": valid: " + ValidTunableKey(key));
  Tunables scratch;
  if (!SetTunable(*spec, ParseJson(value, key), scratch))
    throw UsageError(key + ": found " + value +
                     ", valid: " + ValidTunable(*spec));
  return {key, WriteJsonLine(GetTunable(scratch, *spec))};
}

std::optional<int64_t> EndTimeFromArgs(const CliArgs& args,
                                       int64_t now_unix_ms) {
  const auto text = args.Value("ends");
  if (!text)
    return std::nullopt;
  std::optional<int64_t> ends = ParseUtc(*text);
  if (const auto duration = ParseDuration(*text))
    ends = now_unix_ms + *duration;
  if (!ends || *ends <= now_unix_ms)
    throw UsageError("--ends: found " + *text +
                     ", valid: a future time, 2026-12-31T18:00:00Z or +90m "
                     "(s, m, h, d)");
  return ends;
}

}  // namespace toucanknot
