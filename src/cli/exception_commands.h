#ifndef SRC_CLI_EXCEPTION_COMMANDS_H_
#define SRC_CLI_EXCEPTION_COMMANDS_H_

#include <vector>

#include "include/cli/command.h"

namespace toucanknot {

// Commands for single changes of the configuration: default set; exception add,
// list and retire; drain and undrain.
class ExceptionCommands {
 public:
  static std::vector<CliCommand> All();

 private:
  static ExitCode SetDefault(const CliContext& context);
  static ExitCode Add(const CliContext& context);
  static ExitCode List(const CliContext& context);
  static ExitCode Retire(const CliContext& context);
  static ExitCode Drain(const CliContext& context);
  static ExitCode Undrain(const CliContext& context);
};

}  // namespace toucanknot

#endif  // SRC_CLI_EXCEPTION_COMMANDS_H_
