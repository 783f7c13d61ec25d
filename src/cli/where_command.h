#ifndef SRC_CLI_WHERE_COMMAND_H_
#define SRC_CLI_WHERE_COMMAND_H_

#include <vector>

#include "include/cli/command.h"

namespace toucanknot {

// The command that asks a running entry host where a request would go now, and
// why.
class WhereCommand {
 public:
  static std::vector<CliCommand> All();

 private:
  static ExitCode Where(const CliContext& context);
};

}  // namespace toucanknot

#endif  // SRC_CLI_WHERE_COMMAND_H_
