#include "src/cli/config_commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/value.hpp>

#include "include/base/utc_time.h"
#include "include/config/config_candidate.h"
#include "include/config/config_diff.h"
#include "include/config/config_text.h"
#include "include/config/json_text.h"
#include "src/cli/cli_settings.h"
#include "src/cli/config_change.h"
#include "src/cli/host_client.h"
#include "src/cli/preview.h"

namespace toucanknot {
namespace {

FleetConfigPtr ReadConfigFile(const CliContext& context) {
  const std::string& path = context.args.positional().front();
  return ParseFleetConfig(ReadFile(path), path);
}

// An edit that replaces the whole configuration.
std::function<void(FleetConfig&)> ReplaceWith(FleetConfigPtr config) {
  return [config = std::move(config)](FleetConfig& next) { next = *config; };
}

// Reports that the file is based on a version other than the store's, with the
// differences to the store's configuration.
ExitCode ReportStaleFile(const CliContext& context,
                         const CurrentConfig& current,
                         const FleetConfig& file,
                         uint64_t base) {
  const uint64_t version = current.snapshot.root.version;
  std::ostream& err = context.err();
  if (!current.config) {
    err << "the store has no configuration, but the file is based on version "
        << base << "; if the store lost its data, use `config restore`\n";
    return ExitCode::kConflict;
  }
  if (base == 0)
    err << "the file does not state the version it is based on";
  else
    err << "the file is based on version " << base;
  err << ", the store has version " << version
      << "; nothing was changed\nApplying it would change:\n"
      << DescribeDifferences(DiffConfigs(*current.config, file))
      << "Merge the changes you want to keep, then set `\"version\": "
      << version << "` in the file or --base " << version << "\n";
  return ExitCode::kConflict;
}

// Reads the store's configuration to show the differences; null when parts of
// it are lost, which must not prevent a restore.
FleetConfigPtr ReadIfIntact(Store& store, const RootSnapshot& snapshot) {
  if (!snapshot.exists())
    return nullptr;
  try {
    return CheckConfigCandidate(FetchConfigCandidate(store, snapshot.root));
  } catch (const MalformedRootError&) {
    return nullptr;
  } catch (const InvalidConfigError&) {
    return nullptr;
  }
}

ConfigCandidate ReadRestoreSource(const CliContext& context) {
  const auto host = context.args.EndpointValue("from-host");
  const auto file = context.args.Value("from-file");
  if (host.has_value() == file.has_value())
    throw UsageError("exactly one of --from-host and --from-file is required");
  if (host)
    return ReadConfigCandidate(FetchFromHost(context, *host, "/v1/config"),
                               host->ToString());
  const auto config = ParseFleetConfig(ReadFile(*file), *file);
  return MakeConfigCandidate(*config, config->version);
}

}  // namespace

std::vector<CliCommand> ConfigCommands::All() {
  const CliOption reason{"reason", "TEXT",
                         "reason of the change, for the audit log"};
  return {
      {"config check",
       "FILE",
       "validate a configuration file offline",
       {},
       1,
       1,
       Check},
      {"config apply",
       "FILE",
       "replace the configuration",
       {reason,
        {"base", "VERSION",
         "the version that FILE is based on, if FILE "
         "does not state it"}},
       1,
       1,
       Apply},
      {"config show",
       "",
       "print the configuration in the store",
       {},
       0,
       0,
       Show},
      {"config diff",
       "FILE",
       "show the differences between the store and FILE",
       {},
       1,
       1,
       Diff},
      {"config restore",
       "",
       "restore the configuration after the store lost recent versions",
       {reason,
        {"from-host", "IP:PORT",
         "admin address of a host that has the configuration"},
        {"from-file", "FILE", "a configuration file that states its version"},
        {"above", "VERSION",
         "the newest version known, if newer than the source's"}},
       0,
       0,
       Restore},
  };
}

ExitCode ConfigCommands::Check(const CliContext& context) {
  try {
    const FleetConfigPtr config = ReadConfigFile(context);
    if (context.settings.json) {
      context.out() << WriteJson(
          boost::json::object{{"valid", true}, {"digest", config->digest}});
    } else {
      context.out() << context.args.positional().front() << ": valid, "
                    << config->hosts.size() << " entry hosts, "
                    << config->services.size() << " services, "
                    << config->exceptions.size() << " exceptions\n";
    }
    return ExitCode::kOk;
  } catch (const InvalidConfigError& e) {
    if (!context.settings.json)
      throw;
    boost::json::array problems;
    for (const Problem& it : e.problems()) {
      problems.push_back(boost::json::object{
          {"path", it.path}, {"found", it.found}, {"valid", it.valid}});
    }
    context.out() << WriteJson(boost::json::object{
        {"valid", false}, {"problems", std::move(problems)}});
    return ExitCode::kBadInput;
  }
}

ExitCode ConfigCommands::Apply(const CliContext& context) {
  const FleetConfigPtr file = ReadConfigFile(context);
  const auto store = OpenStore(context);
  CurrentConfig current = ReadCurrentConfig(*store);
  const uint64_t base =
      context.args.NumberValue("base").value_or(file->version);
  if (base != current.snapshot.root.version)
    return ReportStaleFile(context, current, *file, base);
  ChangeRequest request;
  request.kind = ChangeKind::kApply;
  request.reason = context.args.RequiredValue("reason");
  request.summary = "applied " + context.args.positional().front();
  request.edit = ReplaceWith(file);
  return ConfigChange(context, *store, std::move(current)).Run(request);
}

ExitCode ConfigCommands::Show(const CliContext& context) {
  const auto store = OpenStore(context);
  const CurrentConfig current = RequireCurrentConfig(*store);
  if (context.settings.json) {
    context.out() << WriteConfigCandidate(
        FetchConfigCandidate(*store, current.snapshot.root));
    return ExitCode::kOk;
  }
  if (!current.snapshot.root.audit_log.empty()) {
    const AuditEntry& last = current.snapshot.root.audit_log.front();
    context.out() << fmt::format("// Version {} by {} at {}: {}\n",
                                 last.version, last.author,
                                 FormatUtc(last.unix_ms), last.summary);
  }
  context.out() << WriteVersionedConfig(*current.config);
  return ExitCode::kOk;
}

ExitCode ConfigCommands::Diff(const CliContext& context) {
  const FleetConfigPtr file = ReadConfigFile(context);
  const auto store = OpenStore(context);
  const CurrentConfig current = RequireCurrentConfig(*store);
  const Preview preview =
      PreviewChange(*current.config, *file, context.env.unix_ms());
  if (context.settings.json)
    context.out() << WriteJson(PreviewJson(preview));
  else if (preview.differences.empty())
    context.out() << "no differences\n";
  else
    context.out() << DescribePreview(preview);
  return ExitCode::kOk;
}

ExitCode ConfigCommands::Restore(const CliContext& context) {
  const std::string reason = context.args.RequiredValue("reason");
  const ConfigCandidate candidate = ReadRestoreSource(context);
  const FleetConfigPtr config = CheckConfigCandidate(candidate);
  const auto store = OpenStore(context);
  CurrentConfig current{ReadRootSnapshot(*store), nullptr};
  const uint64_t current_version = current.snapshot.root.version;
  if (candidate.version <= current_version) {
    throw UsageError(fmt::format(
        "the store has version {}, which is not older than version {}",
        current_version, candidate.version));
  }
  current.config = ReadIfIntact(*store, current.snapshot);
  ChangeRequest request;
  request.kind = ChangeKind::kRestore;
  request.reason = reason;
  request.summary = fmt::format("restored version {} over version {}",
                                candidate.version, current_version);
  request.edit = ReplaceWith(config);
  request.write_if_unchanged = true;
  request.newest_known = std::max(
      {candidate.version, context.args.NumberValue("above").value_or(0),
       NewestVersionAtHosts(context, candidate.version)});
  request.client_parts = candidate.client_parts;
  return ConfigChange(context, *store, std::move(current)).Run(request);
}

}  // namespace toucanknot
