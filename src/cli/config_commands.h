#ifndef SRC_CLI_CONFIG_COMMANDS_H_
#define SRC_CLI_CONFIG_COMMANDS_H_

#include <vector>

#include "include/cli/command.h"

namespace toucanknot {

// Commands on the whole configuration: config check, apply, show, diff and
// restore.
class ConfigCommands {
 public:
  static std::vector<CliCommand> All();

 private:
  static ExitCode Check(const CliContext& context);
  static ExitCode Apply(const CliContext& context);
  static ExitCode Show(const CliContext& context);
  static ExitCode Diff(const CliContext& context);
  static ExitCode Restore(const CliContext& context);
};

}  // namespace toucanknot

#endif  // SRC_CLI_CONFIG_COMMANDS_H_
