#ifndef SRC_CLI_CLI_SETTINGS_H_
#define SRC_CLI_CLI_SETTINGS_H_

#include <string>
#include <vector>

#include "include/cli/command.h"

namespace toucanknot {

// The options common to all commands.
const std::vector<CliOption>& CommonOptions();

// Returns the values of the settings file (--settings, else
// $TOUCANKNOT_SETTINGS, else none), overridden by the options in `args`. Throws
// InvalidConfigError for an invalid file and UsageError for invalid options.
CliSettings ReadCliSettings(const CliArgs& args, const CliEnvironment& env);

// Returns the content of the file. Throws UsageError when it cannot be read.
std::string ReadFile(const std::string& path);

}  // namespace toucanknot

#endif  // SRC_CLI_CLI_SETTINGS_H_
