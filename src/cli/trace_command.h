#ifndef SRC_CLI_TRACE_COMMAND_H_
#define SRC_CLI_TRACE_COMMAND_H_

#include <vector>

#include "include/cli/command.h"

namespace toucanknot {

// The commands that read the logs of entry hosts: the timeline of a request or
// a backend server, and what requests without success failed of.
class TraceCommand {
 public:
  static std::vector<CliCommand> All();

 private:
  static ExitCode Trace(const CliContext& context);
  static ExitCode Causes(const CliContext& context);
};

}  // namespace toucanknot

#endif  // SRC_CLI_TRACE_COMMAND_H_
