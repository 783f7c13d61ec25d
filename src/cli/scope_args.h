#ifndef SRC_CLI_SCOPE_ARGS_H_
#define SRC_CLI_SCOPE_ARGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "include/cli/command.h"
#include "include/config/fleet_config.h"

namespace toucanknot {

// --service, --region, --zone, --host, --server.
std::vector<CliOption> ScopeOptions();

// The scope that the options name. Throws UsageError when they name none.
Scope ScopeIn(const CliArgs& args);

// "service orders, zone centro-a".
std::string DescribeScope(const Scope& scope);

// "drain-service-orders-zone-centro-a": an id that says what it applies to.
std::string ScopeId(const std::string& prefix, const Scope& scope);

// "KEY=VALUE" or KEY and VALUE as a tunable's value, checked. Throw UsageError.
TunableValue ParseTunable(const std::string& text);
TunableValue ParseTunable(const std::string& key, const std::string& value);

// The time that --ends names: "2026-12-31T18:00:00Z", or "+90m" from now.
std::optional<int64_t> EndIn(const CliArgs& args, int64_t now_unix_ms);

}  // namespace toucanknot

#endif  // SRC_CLI_SCOPE_ARGS_H_
