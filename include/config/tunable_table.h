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

// What the number behind a key counts.
enum class TunableUnit { kFlag, kMillis, kBytes, kCount, kShare };

inline constexpr EnumNames<TunableUnit, 5> kTunableUnitNames{
    {"true/false", "ms", "bytes", "count", "share"}};

// At what kind of place a tunable is read, which says what parts the scope of
// an exception to it may have.
enum class TunablePlace {
  // An entry host: region, zone, host; and a backend server: service, region,
  // zone, server.
  kHostOrServer,
  // An entry host: region, zone, host.
  kHost,
  // A service at an entry host: service, region, zone, host.
  kService,
  // A service in a region: service, region.
  kRegion,
  // A link, by the region it leads from: region.
  kLink,
};

inline constexpr EnumNames<TunablePlace, 5> kTunablePlaceNames{
    {"host or server", "host", "service", "region", "link"}};

// One row of the table that parser, writer, merge and schema page share.
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
  TunablePlace place;
  Member member;
};

// Every tunable, in the order of the Tunables struct.
const std::vector<TunableSpec>& TunableTable();

// The row of `key`; null when there is none.
const TunableSpec* FindTunable(std::string_view key);

// The value of `spec` in `tunables`.
boost::json::value GetTunable(const Tunables& tunables,
                              const TunableSpec& spec);

// Sets the value when it has the right type and range. Returns whether it did.
bool SetTunable(const TunableSpec& spec,
                const boost::json::value& value,
                Tunables& tunables);

// What SetTunable() takes: "a whole number from 1 to 600000 (ms)".
std::string ValidTunable(const TunableSpec& spec);

// What keys are valid in place of the unknown `key`; names the one that
// differs by its unit if there is one.
std::string ValidTunableKey(std::string_view key);

// Whether an exception to a tunable of this place may have `scope`.
bool PlaceAllows(TunablePlace place, const Scope& scope);

// What PlaceAllows(): "service, region".
std::string AllowedParts(TunablePlace place);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_TUNABLE_TABLE_H_
