#ifndef SRC_CLI_CLI_SETTINGS_H_
#define SRC_CLI_CLI_SETTINGS_H_

#include <string>
#include <vector>

#include "include/cli/command.h"

namespace toucanknot {

// The options that every command has.
const std::vector<CliOption>& CommonOptions();

// The settings file's values (--settings, else $TOUCANKNOT_SETTINGS, else
// none), changed by the options given. Throws InvalidConfigError for a faulty
// file and UsageError for faulty options.
CliSettings ReadCliSettings(const CliArgs& args, const CliEnvironment& env);

// The whole text of the file. Throws UsageError when it cannot be read.
std::string ReadFile(const std::string& path);

}  // namespace toucanknot

#endif  // SRC_CLI_CLI_SETTINGS_H_
