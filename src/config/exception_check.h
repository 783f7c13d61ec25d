#ifndef SRC_CONFIG_EXCEPTION_CHECK_H_
#define SRC_CONFIG_EXCEPTION_CHECK_H_

#include <set>
#include <string>
#include <vector>

#include "include/base/error.h"
#include "include/config/fleet_config.h"
#include "src/config/config_index.h"

namespace toucanknot {

// Validates defaults and exceptions together: related tunables, scopes, and
// drains that leave a service without a usable backend server. Treats every
// exception as in force, so that the result does not depend on the time.
class ExceptionCheck {
 public:
  // Both must outlive the check.
  ExceptionCheck(const FleetConfig& config, const ConfigIndex& index);

  std::vector<Problem> Run();

 private:
  void AddProblem(std::string path, std::string found, std::string valid);

  // Checks the constraints between tunables that apply at the same location.
  void CheckRelatedTunables(const Tunables& tunables, const std::string& path);
  // The tunables for the scope of the exception at index `last`, with the
  // exceptions up to it whose scopes overlap with it applied in order.
  Tunables ResolveUpTo(size_t last) const;

  void CheckException(const ConfigException& exception);
  void CheckScope(const Scope& scope, const std::string& path);
  bool PartsAreKnown(const Scope& scope) const;
  bool MatchesAnyLocation(const Scope& scope) const;

  void CheckDrains();
  // `open` contains the regions with an entry host that is not drained.
  void CheckServiceDrain(const FleetConfig& drains,
                         const std::set<RegionId>& open,
                         const Service& service);

  const FleetConfig& config_;
  const ConfigIndex& index_;
  std::vector<Problem> problems_;
};

}  // namespace toucanknot

#endif  // SRC_CONFIG_EXCEPTION_CHECK_H_
