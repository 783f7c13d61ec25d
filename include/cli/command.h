#ifndef INCLUDE_CLI_COMMAND_H_
#define INCLUDE_CLI_COMMAND_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "include/base/error.h"
#include "include/store/http_exchange.h"
#include "include/store/store.h"

namespace toucanknot {

// Exit codes of the process.
enum class ExitCode {
  kOk = 0,
  // The check was done and found a problem, or the command failed in another
  // way.
  kFailure = 1,
  // The command line, a file or a value is invalid; no request was made.
  kBadInput = 2,
  // A concurrent change was committed first; nothing was changed.
  kConflict = 3,
  // It is not known yet whether the change was committed.
  kUnknown = 4,
  // The store could not be reached; nothing was changed.
  kStoreUnavailable = 5,
};

// The command line or an input file named on it is invalid.
class UsageError : public Error {
 public:
  using Error::Error;
};

// One option of a command, "--reason TEXT".
struct CliOption {
  std::string name;
  // Placeholder for the value in the help text; empty for a flag.
  std::string argument;
  std::string help;
  bool repeatable = false;
};

// The parsed options and positional arguments of a command.
class CliArgs {
 public:
  CliArgs() = default;
  CliArgs(std::vector<std::string> positional,
          std::map<std::string, std::vector<std::string>> options);

  const std::vector<std::string>& positional() const { return positional_; }
  bool Has(const std::string& option) const;
  // All values of the option; empty when it was not given.
  std::vector<std::string> Values(const std::string& option) const;
  std::optional<std::string> Value(const std::string& option) const;
  // Throws UsageError when the option is missing or blank.
  std::string RequiredValue(const std::string& option) const;
  // Empty when the option was not given. Throw UsageError when the value is
  // malformed.
  std::optional<Endpoint> EndpointValue(const std::string& option) const;
  std::optional<uint64_t> NumberValue(const std::string& option) const;

 private:
  std::vector<std::string> positional_;
  std::map<std::string, std::vector<std::string>> options_;
};

// A command's access to the outside of the process; replaced in tests.
struct CliEnvironment {
  std::ostream* out = nullptr;
  std::ostream* err = nullptr;
  std::function<std::unique_ptr<Store>(const Endpoint&, Duration)> open_store;
  std::function<
      HttpClientResult(const Endpoint&, const HttpClientRequest&, Duration)>
      fetch;
  std::function<std::optional<std::string>(const std::string& name)> getenv;
  std::function<int64_t()> unix_ms;
  std::function<uint64_t()> random;
  std::function<void(Duration)> wait;
};

// The environment of a real process.
CliEnvironment ProcessEnvironment();

// The settings merged from the settings file and the common options.
struct CliSettings {
  std::optional<Endpoint> store;
  // Admin addresses of the entry hosts.
  std::vector<Endpoint> admins;
  // Bearer token for the admin addresses; never printed.
  std::string admin_token;
  std::string author;
  // For each request to the store or to a host.
  Duration timeout{3'000};
  bool json = false;
  bool dry_run = false;
};

// Everything that a command needs to run.
struct CliContext {
  const CliEnvironment& env;
  CliSettings settings;
  CliArgs args;

  std::ostream& out() const { return *env.out; }
  std::ostream& err() const { return *env.err; }
};

// Describes one command for CommandLine.
struct CliCommand {
  // One or two words, such as "config apply".
  std::string name;
  // Positional arguments for the usage line, such as "FILE".
  std::string arguments;
  std::string help;
  std::vector<CliOption> options;
  size_t min_positional = 0;
  size_t max_positional = 0;
  std::function<ExitCode(const CliContext&)> run;
};

}  // namespace toucanknot

#endif  // INCLUDE_CLI_COMMAND_H_
