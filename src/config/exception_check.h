#ifndef SRC_CONFIG_EXCEPTION_CHECK_H_
#define SRC_CONFIG_EXCEPTION_CHECK_H_

#include <set>
#include <string>
#include <vector>

#include "include/base/error.h"
#include "include/config/fleet_config.h"
#include "src/config/place_index.h"

namespace toucanknot {

// Checks defaults and exceptions together: sums, scopes, and drains that leave
// a service nowhere to go. Every exception counts as in force, whenever the
// check is made.
class ExceptionCheck {
 public:
  // Both must outlive the check.
  ExceptionCheck(const FleetConfig& config, const PlaceIndex& index);

  std::vector<Problem> Run();

 private:
  void Note(std::string path, std::string found, std::string valid);

  // Faults of the tunables that hold together somewhere.
  void CheckSums(const Tunables& tunables, const std::string& path);
  // What holds for the scope of the exception at `last` when the exceptions up
  // to it, whose scopes overlap with it, are merged.
  Tunables MergedUpTo(size_t last) const;

  void CheckException(const ConfigException& exception);
  void CheckScope(const Scope& scope, const std::string& path);
  bool PartsAreKnown(const Scope& scope) const;
  bool MatchesAnyPlace(const Scope& scope) const;

  void CheckDrains();
  // `open` are the regions with an entry host that is not drained.
  void CheckServiceDrain(const FleetConfig& drains,
                         const std::set<RegionId>& open,
                         const Service& service);

  const FleetConfig& config_;
  const PlaceIndex& index_;
  std::vector<Problem> problems_;
};

}  // namespace toucanknot

#endif  // SRC_CONFIG_EXCEPTION_CHECK_H_
