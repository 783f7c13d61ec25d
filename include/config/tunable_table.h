#ifndef INCLUDE_CONFIG_TUNABLE_TABLE_H_
#define INCLUDE_CONFIG_TUNABLE_TABLE_H_

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "include/base/enum_names.h"
#include "include/config/fleet_config.h"
#include "include/config/tunables.h"

namespace toucanknot {

// The unit of a tunable's value.
enum class TunableUnit { kFlag, kMillis, kBytes, kCount, kShare };

inline constexpr EnumNames<TunableUnit, 5> kTunableUnitNames{
    {"true/false", "ms", "bytes", "count", "share"}};

// The kind of location at which a tunable is read. It determines which parts
// the scope of an exception to the tunable may have.
enum class TunableLocation {
  // An entry host: region, zone, host; and a backend server: service, region,
  // zone, server.
  kHostOrServer,
  // An entry host: region, zone, host.
  kHost,
  // A service at an entry host: service, region, zone, host.
  kService,
  // A service in a region: service, region.
  kRegion,
  // A link, identified by the region where it starts: region.
  kLink,
};

inline constexpr EnumNames<TunableLocation, 5> kTunableLocationNames{
    {"host or server", "host", "service", "region", "link"}};

// One row of the table that parser, writer, Resolve() and the schema page
// share.
struct TunableSpec {
  using Member = std::variant<bool Tunables::*,
                              Duration Tunables::*,
                              int64_t Tunables::*,
                              double Tunables::*>;
  std::string_view key;
  TunableUnit unit;
  // Both inclusive, in `unit`.
  double min;
  double max;
  TunableLocation location;
  Member member;
};

// Every tunable, in the order of the Tunables struct.
const std::vector<TunableSpec>& TunableTable();

// The row of `key`; null when there is none.
const TunableSpec* FindTunable(std::string_view key);

// The value of the tunable `spec` in `tunables`.
boost::json::value GetTunable(const Tunables& tunables,
                              const TunableSpec& spec);

// Sets the tunable if `value` has the right type and is in range. Returns
// whether it was set.
bool SetTunable(const TunableSpec& spec,
                const boost::json::value& value,
                Tunables& tunables);

// Describes the values that SetTunable() accepts: "a whole number from 1 to
// 600000 (ms)".
std::string ValidTunable(const TunableSpec& spec);

// Describes the valid keys, for an error about the unknown `key`. Names only
// the key that differs from it by its unit, if there is one.
std::string ValidTunableKey(std::string_view key);

// Whether an exception to a tunable that is read at `location` may have
// `scope`.
bool LocationAllows(TunableLocation location, const Scope& scope);

// The parts that LocationAllows() permits: "service, region".
std::string AllowedScopeParts(TunableLocation location);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_TUNABLE_TABLE_H_
