#ifndef SRC_CLI_WATCH_COMMANDS_H_
#define SRC_CLI_WATCH_COMMANDS_H_

#include <vector>

#include "include/cli/command.h"

namespace toucanknot {

// Commands that show the state of the fleet: history, status and explain.
class WatchCommands {
 public:
  static std::vector<CliCommand> All();

 private:
  static ExitCode History(const CliContext& context);
  static ExitCode FindChange(const CliContext& context, const std::string& id);
  static ExitCode Status(const CliContext& context);
  static ExitCode Explain(const CliContext& context);
};

}  // namespace toucanknot

#endif  // SRC_CLI_WATCH_COMMANDS_H_
