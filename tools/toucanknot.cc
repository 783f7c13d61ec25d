#include "include/cli/command_line.h"

int main(int argc, char** argv) {
  const toucanknot::CommandLine line(toucanknot::OperatorCommands());
  return static_cast<int>(
      line.Run({argv + 1, argv + argc}, toucanknot::ProcessEnvironment()));
}
