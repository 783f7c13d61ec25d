#ifndef SRC_DEMO_DEMO_COMMAND_H_
#define SRC_DEMO_DEMO_COMMAND_H_

#include "include/cli/command.h"

namespace toucanknot {

// "toucanknot demo": shows a small fleet at work.
CliCommand DemoCommand();

}  // namespace toucanknot

#endif  // SRC_DEMO_DEMO_COMMAND_H_
