#ifndef SRC_DEMO_DEMO_COMMAND_H_
#define SRC_DEMO_DEMO_COMMAND_H_

#include "include/cli/command.h"

namespace toucanknot {

// The command "toucanknot demo", which runs DemoRun.
CliCommand DemoCommand();

}  // namespace toucanknot

#endif  // SRC_DEMO_DEMO_COMMAND_H_
