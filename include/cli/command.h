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

// What the process ends with.
enum class ExitCode {
  kOk = 0,
  // It was done and found wanting, or failed in another way.
  kFailure = 1,
  // The command line, a file or a value is not valid; nothing was asked.
  kBadInput = 2,
  // Another change came first; nothing was changed.
  kConflict = 3,
  // Whether the change landed is not known yet.
  kUnknown = 4,
  // The store could not be asked; nothing was changed.
  kStoreUnavailable = 5,
};

// The command line cannot be understood.
class UsageError : public Error {
 public:
  using Error::Error;
};

// One option of a command, "--reason TEXT".
struct CliOption {
  std::string name;
  // What the value stands for; empty for a flag.
  std::string argument;
  std::string help;
  bool repeatable = false;
};

// The options and positional arguments that a command was given.
class CliArgs {
 public:
  CliArgs() = default;
  CliArgs(std::vector<std::string> positional,
          std::map<std::string, std::vector<std::string>> options);

  const std::vector<std::string>& positional() const { return positional_; }
  bool Has(const std::string& option) const;
  // The option's values; none when it was not given.
  std::vector<std::string> All(const std::string& option) const;
  std::optional<std::string> Text(const std::string& option) const;
  // Throw UsageError when absent, blank, or not of the form.
  std::string Required(const std::string& option) const;
  std::optional<Endpoint> Address(const std::string& option) const;
  std::optional<uint64_t> Number(const std::string& option) const;

 private:
  std::vector<std::string> positional_;
  std::map<std::string, std::vector<std::string>> options_;
};

// What a command meets outside of this process; replaced in tests.
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

// What the settings file and the options that every command has come to.
struct CliSettings {
  std::optional<Endpoint> store;
  // Hosts' admin listeners.
  std::vector<Endpoint> admins;
  // Bearer token of the admin listeners; never shown.
  std::string admin_token;
  std::string author;
  // For each call to the store or to a host.
  Duration timeout{3'000};
  bool json = false;
  bool dry_run = false;
};

// All that a command is run with.
struct CliContext {
  const CliEnvironment& env;
  CliSettings settings;
  CliArgs args;

  std::ostream& out() const { return *env.out; }
  std::ostream& err() const { return *env.err; }
};

// One command: a row of the table that CommandLine works from.
struct CliCommand {
  // One or two words, "config apply".
  std::string name;
  // Positional arguments for the usage line, "FILE".
  std::string arguments;
  std::string help;
  std::vector<CliOption> options;
  size_t min_positional = 0;
  size_t max_positional = 0;
  std::function<ExitCode(const CliContext&)> run;
};

}  // namespace toucanknot

#endif  // INCLUDE_CLI_COMMAND_H_
