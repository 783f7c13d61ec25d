#ifndef SRC_CLI_TRACE_COMMAND_H_
#define SRC_CLI_TRACE_COMMAND_H_

#include <vector>

#include "include/cli/command.h"

namespace toucanknot {

// The command that shows the timeline of a request or a backend server from the
// logs of entry hosts.
class TraceCommand {
 public:
  static std::vector<CliCommand> All();

 private:
  static ExitCode Trace(const CliContext& context);
};

}  // namespace toucanknot

#endif  // SRC_CLI_TRACE_COMMAND_H_
