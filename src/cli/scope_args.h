#ifndef SRC_CLI_SCOPE_ARGS_H_
#define SRC_CLI_SCOPE_ARGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "include/cli/command.h"
#include "include/config/fleet_config.h"

namespace toucanknot {

// The options that select a scope: --service, --region, --zone, --host and
// --server.
std::vector<CliOption> ScopeOptions();

// Returns the scope selected by the options. Throws UsageError when there is
// none.
Scope ScopeFromArgs(const CliArgs& args);

// Formats a scope for people, such as "service orders, zone centro-a".
std::string DescribeScope(const Scope& scope);

// Generates an exception id from a scope, such as
// "drain-service-orders-zone-centro-a".
std::string MakeExceptionId(const std::string& prefix, const Scope& scope);

// Parse "KEY=VALUE", or a key and a value, into a validated tunable value.
// Throw UsageError.
TunableValue ParseTunable(const std::string& text);
TunableValue ParseTunable(const std::string& key, const std::string& value);

// Returns the time given by --ends, such as "2026-12-31T18:00:00Z" or "+90m"
// from now, in Unix milliseconds. Throws UsageError when it is malformed or not
// in the future.
std::optional<int64_t> EndTimeFromArgs(const CliArgs& args,
                                       int64_t now_unix_ms);

}  // namespace toucanknot

#endif  // SRC_CLI_SCOPE_ARGS_H_
