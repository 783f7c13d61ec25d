#include <rapidcheck.h>

#include <boost/json/value.hpp>
#include <catch2/catch.hpp>
#include <map>

#include "include/config/config_text.h"
#include "include/config/fleet_config.h"
#include "include/config/json_text.h"
#include "include/config/tunable_table.h"

namespace toucanknot {
namespace {

// Maps each tunable's key to its value as JSON text.
using Flat = std::map<std::string, std::string>;

Flat Flatten(const Tunables& tunables) {
  Flat flat;
  for (const TunableSpec& it : TunableTable())
    flat[std::string(it.key)] = WriteJsonLine(GetTunable(tunables, it));
  return flat;
}

template <typename T>
bool Fits(const std::optional<T>& wanted, const std::optional<T>& part) {
  if (!wanted)
    return true;
  return part && part->str() == wanted->str();
}

// Reference implementation of Resolve(): the defaults, then each exception in
// order.
Flat NaiveMerge(const FleetConfig& config, const Scope& location, int64_t now) {
  Flat flat = Flatten(config.defaults);
  for (const ConfigException& it : config.exceptions) {
    const bool ended = it.ends_unix_ms && now >= *it.ends_unix_ms;
    if (ended || !Fits(it.scope.service, location.service) ||
        !Fits(it.scope.region, location.region) ||
        !Fits(it.scope.zone, location.zone) ||
        !Fits(it.scope.host, location.host) ||
        !Fits(it.scope.server, location.server))
      continue;
    for (const TunableValue& value : it.values)
      flat[value.key] = value.json;
  }
  return flat;
}

template <typename T>
std::optional<T> AnyPart() {
  const int n = *rc::gen::inRange(0, 4);
  return n == 0 ? std::nullopt : std::optional<T>(T("x" + std::to_string(n)));
}

Scope AnyScope() {
  Scope scope;
  scope.service = AnyPart<ServiceId>();
  scope.region = AnyPart<RegionId>();
  scope.zone = AnyPart<ZoneId>();
  scope.host = AnyPart<HostId>();
  scope.server = AnyPart<ServerId>();
  return scope;
}

TunableValue AnyValue() {
  const auto& table = TunableTable();
  const TunableSpec& spec = table[*rc::gen::inRange<size_t>(0, table.size())];
  Tunables scratch;
  const boost::json::value low = spec.unit == TunableUnit::kFlag
                                     ? boost::json::value(true)
                                     : boost::json::value(spec.min);
  const boost::json::value high = spec.unit == TunableUnit::kFlag
                                      ? boost::json::value(false)
                                      : boost::json::value(spec.max);
  RC_ASSERT(
      SetTunable(spec, *rc::gen::arbitrary<bool>() ? low : high, scratch));
  return {std::string(spec.key), WriteJsonLine(GetTunable(scratch, spec))};
}

ConfigException AnyException() {
  ConfigException exception;
  // Half of the exceptions have an empty scope, so that many of them match.
  if (*rc::gen::arbitrary<bool>())
    exception.scope = AnyScope();
  if (*rc::gen::arbitrary<bool>())
    exception.ends_unix_ms = *rc::gen::inRange<int64_t>(0, 5);
  const int n = *rc::gen::inRange(1, 5);
  for (int i = 0; i < n; ++i)
    exception.values.push_back(AnyValue());
  return exception;
}

}  // namespace

TEST_CASE(
    "Resolve() applies the matching exceptions to the defaults in order") {
  CHECK(rc::check([] {
    FleetConfig config;
    const int n = *rc::gen::inRange(0, 8);
    for (int i = 0; i < n; ++i)
      config.exceptions.push_back(AnyException());
    const Scope location = AnyScope();
    const auto now = *rc::gen::inRange<int64_t>(0, 5);
    RC_ASSERT(Flatten(config.Resolve(location, now)) ==
              NaiveMerge(config, location, now));
  }));
}

TEST_CASE("later exceptions take precedence and expired ones do not apply") {
  FleetConfig config;
  const Scope orders{ServiceId("orders")};
  config.exceptions = {
      {"first", orders, "r", "a", {}, {{"max_queue", "7"}}},
      {"second", orders, "r", "a", 1000, {{"max_queue", "9"}}}};
  CHECK(config.Resolve(orders, 999).max_queue == 9);
  CHECK(config.Resolve(orders, 1000).max_queue == 7);
  CHECK(config.Resolve(Scope{ServiceId("other")}, 0).max_queue == 512);
  CHECK(config.NextExceptionEnd(999) == 1000);
  CHECK_FALSE(config.NextExceptionEnd(1000));
}

}  // namespace toucanknot
