#ifndef INCLUDE_CLI_COMMAND_LINE_H_
#define INCLUDE_CLI_COMMAND_LINE_H_

#include <string>
#include <vector>

#include "include/cli/command.h"

namespace toucanknot {

// The operators' commands. Commands of other packages are added to the list in
// tools/toucanknot.cc.
std::vector<CliCommand> OperatorCommands();

// Finds the command in the arguments, parses its options and runs it.
class CommandLine {
 public:
  explicit CommandLine(std::vector<CliCommand> commands);

  // Runs the command given by `args`, which exclude the program's name. Never
  // throws: errors are printed to env.err and set the exit code.
  ExitCode Run(const std::vector<std::string>& args,
               const CliEnvironment& env) const;

 private:
  const CliCommand* Find(const std::vector<std::string>& args,
                         size_t& words) const;
  ExitCode RunCommand(const CliCommand& command,
                      const std::vector<std::string>& rest,
                      const CliEnvironment& env) const;
  void PrintCommands(std::ostream& out) const;
  static void PrintUsage(const CliCommand& command, std::ostream& out);

  std::vector<CliCommand> commands_;
};

}  // namespace toucanknot

#endif  // INCLUDE_CLI_COMMAND_LINE_H_
