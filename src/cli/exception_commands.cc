#include "src/cli/exception_commands.h"

#include <algorithm>
#include <boost/json/value.hpp>

#include "include/base/utc_time.h"
#include "include/config/json_text.h"
#include "include/config/tunable_table.h"
#include "src/cli/config_change.h"
#include "src/cli/scope_args.h"

namespace toucanknot {
namespace {

// Limit on the number of values of one exception on the command line.
constexpr size_t kMaxValues = 64;

const TunableValue kDrainValue{"drain", "true"};

ExitCode RunChange(const CliContext& context, const ChangeRequest& request) {
  const auto store = OpenStore(context);
  return ConfigChange(context, *store, RequireCurrentConfig(*store))
      .Run(request);
}

// Throws an error that lists the existing exceptions.
[[noreturn]] void ThrowNoException(const std::string& what,
                                   const FleetConfig& config) {
  std::string ids;
  for (const ConfigException& it : config.exceptions)
    ids += (ids.empty() ? "" : ", ") + it.id;
  throw UsageError("no exception " + what +
                   "; existing: " + (ids.empty() ? "none" : ids));
}

// Creates an exception from the scope options, --reason and --ends.
ConfigException NewException(const CliContext& context, std::string id) {
  ConfigException exception;
  exception.id = std::move(id);
  exception.scope = ScopeFromArgs(context.args);
  exception.reason = context.args.RequiredValue("reason");
  exception.author = context.settings.author;
  exception.ends_unix_ms = EndTimeFromArgs(context.args, context.env.unix_ms());
  return exception;
}

std::string DescribeException(const ConfigException& exception) {
  std::string text = exception.id + ": " + DescribeScope(exception.scope);
  for (const TunableValue& it : exception.values)
    text += ", " + it.key + "=" + it.json;
  if (exception.ends_unix_ms)
    text += ", ends " + FormatUtc(*exception.ends_unix_ms);
  return text;
}

ChangeRequest MakeAddRequest(ChangeKind kind,
                             const ConfigException& exception) {
  ChangeRequest request;
  request.kind = kind;
  request.reason = exception.reason;
  request.summary = DescribeException(exception);
  request.edit = [exception](FleetConfig& config) {
    config.exceptions.push_back(exception);
  };
  return request;
}

boost::json::value ExceptionJson(const ConfigException& exception,
                                 bool in_force) {
  boost::json::object values;
  for (const TunableValue& it : exception.values)
    values[it.key] = ParseJson(it.json, exception.id);
  boost::json::object out{
      {"id", exception.id},         {"scope", DescribeScope(exception.scope)},
      {"reason", exception.reason}, {"author", exception.author},
      {"in_force", in_force},       {"values", std::move(values)}};
  if (exception.ends_unix_ms)
    out["ends"] = FormatUtc(*exception.ends_unix_ms);
  return out;
}

bool IsDrainOf(const ConfigException& exception, const Scope& scope) {
  return exception.scope == scope &&
         exception.values == std::vector<TunableValue>{kDrainValue};
}

std::vector<CliOption> Concat(std::vector<CliOption> options,
                              const std::vector<CliOption>& more) {
  options.insert(options.end(), more.begin(), more.end());
  return options;
}

}  // namespace

std::vector<CliCommand> ExceptionCommands::All() {
  const CliOption reason{"reason", "TEXT",
                         "reason of the change, for the audit log"};
  const CliOption ends{"ends", "TIME",
                       "end of the exception, 2026-12-31T18:00:00Z or +90m"};
  const CliOption id{"id", "ID", "id of the exception; generated if not given"};
  return {
      {"default set",
       "KEY VALUE",
       "change a fleet-wide default",
       {reason},
       2,
       2,
       SetDefault},
      {"exception add", "KEY=VALUE...", "override defaults within a scope",
       Concat({reason, ends, id}, ScopeOptions()), 1, kMaxValues, Add},
      {"exception list",
       "",
       "list the exceptions in order of precedence",
       {},
       0,
       0,
       List},
      {"exception retire", "ID", "remove an exception", {reason}, 1, 1, Retire},
      {"drain", "", "stop sending new requests to a scope",
       Concat({reason, ends}, ScopeOptions()), 0, 0, Drain},
      {"undrain", "", "end the drain of a scope",
       Concat({reason}, ScopeOptions()), 0, 0, Undrain},
  };
}

ExitCode ExceptionCommands::SetDefault(const CliContext& context) {
  const auto& words = context.args.positional();
  const TunableValue value = ParseTunable(words[0], words[1]);
  ChangeRequest request;
  request.kind = ChangeKind::kDefaultSet;
  request.reason = context.args.RequiredValue("reason");
  request.summary = "default " + value.key + "=" + value.json;
  request.edit = [value](FleetConfig& config) {
    SetTunable(*FindTunable(value.key), ParseJson(value.json, value.key),
               config.defaults);
  };
  return RunChange(context, request);
}

ExitCode ExceptionCommands::Add(const CliContext& context) {
  const auto store = OpenStore(context);
  CurrentConfig current = RequireCurrentConfig(*store);
  const std::string generated_id =
      "exception-" + std::to_string(current.config->version + 1);
  ConfigException exception =
      NewException(context, context.args.Value("id").value_or(generated_id));
  for (const std::string& it : context.args.positional())
    exception.values.push_back(ParseTunable(it));
  return ConfigChange(context, *store, std::move(current))
      .Run(MakeAddRequest(ChangeKind::kExceptionAdd, exception));
}

ExitCode ExceptionCommands::List(const CliContext& context) {
  const auto store = OpenStore(context);
  const CurrentConfig current = RequireCurrentConfig(*store);
  const int64_t now = context.env.unix_ms();
  boost::json::array list;
  for (const ConfigException& it : current.config->exceptions) {
    list.push_back(ExceptionJson(it, it.InForce(now)));
    if (!context.settings.json) {
      context.out() << DescribeException(it)
                    << (it.InForce(now) ? "" : " (ended)") << "\n    "
                    << it.author << ": " << it.reason << "\n";
    }
  }
  if (context.settings.json)
    context.out() << WriteJson(boost::json::object{
        {"version", current.config->version}, {"exceptions", std::move(list)}});
  return ExitCode::kOk;
}

ExitCode ExceptionCommands::Retire(const CliContext& context) {
  const std::string id = context.args.positional().front();
  ChangeRequest request;
  request.kind = ChangeKind::kExceptionRetire;
  request.reason = context.args.RequiredValue("reason");
  request.summary = "retired exception " + id;
  request.edit = [id](FleetConfig& config) {
    const auto removed =
        std::erase_if(config.exceptions,
                      [&](const ConfigException& it) { return it.id == id; });
    if (removed == 0)
      ThrowNoException(id, config);
  };
  return RunChange(context, request);
}

ExitCode ExceptionCommands::Drain(const CliContext& context) {
  const Scope scope = ScopeFromArgs(context.args);
  ConfigException exception =
      NewException(context, MakeExceptionId("drain", scope));
  exception.values = {kDrainValue};
  return RunChange(context, MakeAddRequest(ChangeKind::kDrain, exception));
}

ExitCode ExceptionCommands::Undrain(const CliContext& context) {
  const Scope scope = ScopeFromArgs(context.args);
  ChangeRequest request;
  request.kind = ChangeKind::kUndrain;
  request.reason = context.args.Value("reason").value_or("drain ended");
  request.summary = "ended the drain of " + DescribeScope(scope);
  request.edit = [scope](FleetConfig& config) {
    const auto removed = std::erase_if(
        config.exceptions,
        [&](const ConfigException& it) { return IsDrainOf(it, scope); });
    if (removed == 0)
      ThrowNoException("that drains exactly " + DescribeScope(scope), config);
  };
  return RunChange(context, request);
}

}  // namespace toucanknot
