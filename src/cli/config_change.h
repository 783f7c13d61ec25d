#ifndef SRC_CLI_CONFIG_CHANGE_H_
#define SRC_CLI_CONFIG_CHANGE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "include/cli/command.h"
#include "include/config/fleet_config.h"
#include "include/store/change_writer.h"
#include "include/store/config_reader.h"

namespace toucanknot {

// The configuration in the store at the time a command read it.
struct CurrentConfig {
  RootSnapshot snapshot;
  // Null when the store has none yet.
  FleetConfigPtr config;
};

// Opens the store of the settings. Throws UsageError when none is set.
std::unique_ptr<Store> OpenStore(const CliContext& context);

// Reads and validates the configuration in the store.
CurrentConfig ReadCurrentConfig(Store& store);

// The same, but throws UsageError when the store has none yet.
CurrentConfig RequireCurrentConfig(Store& store);

// A change of the configuration requested by a command.
struct ChangeRequest {
  ChangeKind kind = ChangeKind::kApply;
  std::string reason;
  std::string summary;
  // Edits a copy of the current configuration, or an empty one if there is
  // none, into the new one.
  std::function<void(FleetConfig&)> edit;
  // Writes even if nothing differs, which a restore needs.
  bool write_if_unchanged = false;
  // The newest version known; the new version will be greater.
  uint64_t newest_known = 0;
  std::optional<std::vector<std::string>> client_parts;
};

// Performs one change of the configuration: edits, validates and writes it, and
// reports the result to the operator.
class ConfigChange {
 public:
  ConfigChange(const CliContext& context, Store& store, CurrentConfig current);

  // Applies the edit, removes exceptions that have ended, validates the result
  // and writes it or, with --dry-run, shows what would change.
  ExitCode Run(const ChangeRequest& request);

 private:
  // The validated configuration after the change; sets `expired` to
  // descriptions of the removed exceptions.
  FleetConfigPtr BuildNext(const ChangeRequest& request,
                           std::vector<std::string>& expired) const;
  ExitCode ShowPreview(const FleetConfig& next) const;
  ExitCode ReportResult(const Change& change, const ChangeResult& result) const;
  ExitCode ReportConflict(const Change& change,
                          const ChangeResult& result) const;
  FleetConfig BaseConfig() const;

  const CliContext& context_;
  Store& store_;
  const CurrentConfig current_;
};

// Prints each host that has a newer version than `version` to err. Returns the
// newest version of all hosts; 0 when no host responded.
uint64_t NewestVersionAtHosts(const CliContext& context, uint64_t version);

}  // namespace toucanknot

#endif  // SRC_CLI_CONFIG_CHANGE_H_
