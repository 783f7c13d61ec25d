// toucanknot: the operators' command line.

#include "include/cli/command_line.h"
#include "src/demo/demo_command.h"

int main(int argc, char** argv) {
  std::vector<toucanknot::CliCommand> commands = toucanknot::OperatorCommands();
  commands.push_back(toucanknot::DemoCommand());
  const toucanknot::CommandLine line(std::move(commands));
  return static_cast<int>(
      line.Run({argv + 1, argv + argc}, toucanknot::ProcessEnvironment()));
}
