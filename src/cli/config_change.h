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

// The configuration in the store as a command found it.
struct PresentConfig {
  RootSnapshot snapshot;
  // Null when the store has none yet.
  FleetConfigPtr config;
};

// Opens the store of the settings. Throws UsageError when none is set.
std::unique_ptr<Store> OpenStore(const CliContext& context);

// Reads the configuration in force, checked.
PresentConfig ReadPresent(Store& store);

// The same, or UsageError when the store has none yet.
PresentConfig RequirePresent(Store& store);

// What a command wants changed.
struct ChangeRequest {
  ChangeKind kind = ChangeKind::kApply;
  std::string reason;
  std::string summary;
  // Makes the next configuration out of a copy of the present one (an empty
  // one if there is none).
  std::function<void(FleetConfig&)> edit;
  // Writes even when nothing differs: for a restore.
  bool always = false;
  uint64_t newest_known = 0;
  std::optional<std::vector<std::string>> client_parts;
};

// Carries out one change of the configuration from reading the present one to
// telling the operator what became of it.
class ConfigChange {
 public:
  ConfigChange(const CliContext& context, Store& store, PresentConfig present);

  // Edits, takes out exceptions that have ended, checks the whole, and writes
  // it or, with --dry-run, shows what would change.
  ExitCode Run(const ChangeRequest& request);

 private:
  // The checked configuration after the change; fills `expired`.
  FleetConfigPtr Next(const ChangeRequest& request,
                      std::vector<std::string>& expired) const;
  ExitCode Show(const FleetConfig& next) const;
  ExitCode Tell(const Change& change, const ChangeResult& result) const;
  ExitCode TellConflict(const Change& change, const ChangeResult& result) const;
  FleetConfig Before() const;

  const CliContext& context_;
  Store& store_;
  const PresentConfig present_;
};

// Tells on err of each host that has a newer version than `version`. Returns
// the newest; 0 when no host could be asked.
uint64_t NewestAtHosts(const CliContext& context, uint64_t version);

}  // namespace toucanknot

#endif  // SRC_CLI_CONFIG_CHANGE_H_
