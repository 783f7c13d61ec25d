#include "include/config/tunable_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/value.hpp>
#include <cmath>

namespace toucanknot {
namespace {

constexpr double kMinute = 60'000;
constexpr double kHour = 60 * kMinute;
constexpr double kDay = 24 * kHour;
constexpr double kMebibyte = 1 << 20;

using enum TunableUnit;
using Location = TunableLocation;

// The parts that a scope may have at a kind of location.
struct LocationParts {
  bool service, region, zone, host, server;
};

constexpr LocationParts kHostParts{false, true, true, true, false};
constexpr LocationParts kServerParts{true, true, true, false, true};

LocationParts PartsOf(TunableLocation location) {
  switch (location) {
    case Location::kHostOrServer:
      return kServerParts;
    case Location::kHost:
      return kHostParts;
    case Location::kService:
      return {true, true, true, true, false};
    case Location::kRegion:
      return {true, true, false, false, false};
    case Location::kLink:
      return {false, true, false, false, false};
  }
  return {};
}

bool Allows(const LocationParts& parts, const Scope& scope) {
  return (parts.service || !scope.service) && (parts.region || !scope.region) &&
         (parts.zone || !scope.zone) && (parts.host || !scope.host) &&
         (parts.server || !scope.server);
}

std::string PartNames(const LocationParts& parts) {
  std::string text;
  const auto add = [&](bool allowed, const char* name) {
    if (allowed)
      text += (text.empty() ? "" : ", ") + std::string(name);
  };
  add(parts.service, "service");
  add(parts.region, "region");
  add(parts.zone, "zone");
  add(parts.host, "host");
  add(parts.server, "server");
  return text;
}

// The number in `value`, if it is a finite number, and an integer when `whole`
// is set.
std::optional<double> NumberIn(const boost::json::value& value, bool whole) {
  if (value.is_int64())
    return static_cast<double>(value.get_int64());
  if (value.is_uint64())
    return static_cast<double>(value.get_uint64());
  if (!value.is_double())
    return std::nullopt;
  const double n = value.get_double();
  if (!std::isfinite(n) || (whole && n != std::floor(n)))
    return std::nullopt;
  return n;
}

template <typename T>
T FromNumber(double n) {
  if constexpr (std::is_same_v<T, Duration>)
    return Duration(static_cast<int64_t>(n));
  else
    return static_cast<T>(n);
}

// A key without its unit: "deadline" of "deadline_ms" and "deadline_s".
std::string_view KeyWithoutUnit(std::string_view key) {
  for (const std::string_view it :
       {"_ms", "_s", "_sec", "_seconds", "_millis", "_bytes", "_mb", "_kb",
        "_ratio", "_share", "_percent", "_limit"}) {
    if (key.size() > it.size() && key.ends_with(it))
      return key.substr(0, key.size() - it.size());
  }
  return key;
}

}  // namespace

const std::vector<TunableSpec>& TunableTable() {
  static const std::vector<TunableSpec> table = {
      {"drain", kFlag, 0, 1, Location::kHostOrServer, &Tunables::drain},
      {"deadline_ms", kMillis, 1, kHour, Location::kService,
       &Tunables::deadline},
      {"max_deadline_ms", kMillis, 1, kHour, Location::kService,
       &Tunables::max_deadline},
      {"max_queue", kCount, 0, 100'000, Location::kService,
       &Tunables::max_queue},
      {"retry_ratio", kShare, 0, 0.5, Location::kService,
       &Tunables::retry_ratio},
      {"hedge_ratio", kShare, 0, 0.5, Location::kService,
       &Tunables::hedge_ratio},
      {"max_request_bytes", kBytes, 1024, 64 * kMebibyte, Location::kService,
       &Tunables::max_request_bytes},
      {"max_answer_bytes", kBytes, 1024, 256 * kMebibyte, Location::kService,
       &Tunables::max_answer_bytes},
      {"region_load_limit", kShare, 0.01, 1, Location::kRegion,
       &Tunables::region_load_limit},
      {"link_load_limit", kShare, 0, 1, Location::kLink,
       &Tunables::link_load_limit},
      {"shift_share", kShare, 0, 1, Location::kRegion, &Tunables::shift_share},
      {"shift_interval_ms", kMillis, 100, kHour, Location::kRegion,
       &Tunables::shift_interval},
      {"warmup_ms", kMillis, 0, kHour, Location::kService, &Tunables::warmup},
      {"max_report_age_ms", kMillis, 100, 10 * kMinute, Location::kRegion,
       &Tunables::max_report_age},
      {"probe_interval_ms", kMillis, 50, 10 * kMinute, Location::kHost,
       &Tunables::probe_interval},
      {"eject_after_failures", kCount, 1, 1000, Location::kService,
       &Tunables::eject_after_failures},
      {"eject_for_ms", kMillis, 100, kHour, Location::kService,
       &Tunables::eject_for},
      {"max_ejected_share", kShare, 0, 1, Location::kService,
       &Tunables::max_ejected_share},
      {"quarantine_for_ms", kMillis, 1000, kDay, Location::kService,
       &Tunables::quarantine_for},
      {"silent_after_ms", kMillis, 100, 10 * kMinute, Location::kService,
       &Tunables::silent_after},
      {"fresh_for_ms", kMillis, 0, kMinute, Location::kService,
       &Tunables::fresh_for},
      {"ticket_lifetime_ms", kMillis, 1000, kHour, Location::kService,
       &Tunables::ticket_lifetime},
      {"keep_answer_ms", kMillis, 1000, kDay, Location::kHost,
       &Tunables::keep_answer},
      {"kept_answers_bytes", kBytes, kMebibyte, 1024 * kMebibyte,
       Location::kHost, &Tunables::kept_answers_bytes},
      {"lookup_lifetime_ms", kMillis, 100, kHour, Location::kHost,
       &Tunables::lookup_lifetime},
      {"drain_limit_ms", kMillis, 1000, kHour, Location::kHost,
       &Tunables::drain_limit},
  };
  return table;
}

const TunableSpec* FindTunable(std::string_view key) {
  const auto& table = TunableTable();
  const auto it =
      std::find_if(table.begin(), table.end(),
                   [&](const TunableSpec& spec) { return spec.key == key; });
  return it == table.end() ? nullptr : &*it;
}

boost::json::value GetTunable(const Tunables& tunables,
                              const TunableSpec& spec) {
  return std::visit(
      [&](auto member) -> boost::json::value {
        const auto& n = tunables.*member;
        if constexpr (std::is_same_v<decltype(n), const Duration&>)
          return n.ms();
        else
          return n;
      },
      spec.member);
}

bool SetTunable(const TunableSpec& spec,
                const boost::json::value& value,
                Tunables& tunables) {
  if (spec.unit == kFlag) {
    if (!value.is_bool())
      return false;
    tunables.*std::get<bool Tunables::*>(spec.member) = value.get_bool();
    return true;
  }
  const auto n = NumberIn(value, spec.unit != kShare);
  if (!n || *n < spec.min || *n > spec.max)
    return false;
  std::visit(
      [&](auto member) {
        auto& target = tunables.*member;
        target = FromNumber<std::decay_t<decltype(target)>>(*n);
      },
      spec.member);
  return true;
}

std::string ValidTunable(const TunableSpec& spec) {
  if (spec.unit == kFlag)
    return "true or false";
  return fmt::format("a {}number from {} to {} ({})",
                     spec.unit == kShare ? "" : "whole ", spec.min, spec.max,
                     kTunableUnitNames.Name(spec.unit));
}

std::string ValidTunableKey(std::string_view key) {
  std::string keys;
  for (const TunableSpec& it : TunableTable()) {
    if (KeyWithoutUnit(it.key) == KeyWithoutUnit(key))
      return std::string(it.key) + ", " + ValidTunable(it);
    keys += (keys.empty() ? "" : ", ") + std::string(it.key);
  }
  return "one of " + keys;
}

bool LocationAllows(TunableLocation location, const Scope& scope) {
  return Allows(PartsOf(location), scope) ||
         (location == Location::kHostOrServer && Allows(kHostParts, scope));
}

std::string AllowedScopeParts(TunableLocation location) {
  if (location == Location::kHostOrServer)
    return PartNames(kHostParts) + "; or " + PartNames(kServerParts);
  return PartNames(PartsOf(location));
}

}  // namespace toucanknot
