#include "include/cli/command_line.h"
#include "src/cli/config_commands.h"
#include "src/cli/exception_commands.h"
#include "src/cli/trace_command.h"
#include "src/cli/watch_commands.h"
#include "src/cli/where_command.h"

namespace toucanknot {

std::vector<CliCommand> OperatorCommands() {
  std::vector<CliCommand> all;
  for (auto group :
       {ConfigCommands::All(), ExceptionCommands::All(), WatchCommands::All(),
        TraceCommand::All(), WhereCommand::All()})
    all.insert(all.end(), group.begin(), group.end());
  return all;
}

}  // namespace toucanknot
