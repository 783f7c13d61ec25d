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

// Replaces all but the version.
std::function<void(FleetConfig&)> ReplaceBy(FleetConfigPtr config) {
  return [config = std::move(config)](FleetConfig& next) { next = *config; };
}

// What differs between the store's configuration and a file that was made from
// another version of it.
ExitCode TellStale(const CliContext& context,
                   const PresentConfig& present,
                   const FleetConfig& file,
                   uint64_t base) {
  const uint64_t version = present.snapshot.root.version;
  std::ostream& err = context.err();
  if (!present.config) {
    err << "the store has no configuration, but the file was made from version "
        << base << ": has the store lost it? `config restore` brings it back\n";
    return ExitCode::kConflict;
  }
  if (base == 0)
    err << "the file does not say which version it was made from";
  else
    err << "the file was made from version " << base;
  err << ", the store has version " << version
      << "; nothing was changed\nApplying it would change:\n"
      << DescribeDifferences(DiffConfigs(*present.config, file))
      << "Take over what you want to keep, then state `\"version\": " << version
      << "` in the file or --base " << version << "\n";
  return ExitCode::kConflict;
}

// The store's configuration for the difference shown; null when parts of it
// are lost, which must not hinder a restore.
FleetConfigPtr ReadIfWhole(Store& store, const RootSnapshot& snapshot) {
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

ConfigCandidate ReadRestored(const CliContext& context) {
  const auto host = context.args.Address("from-host");
  const auto file = context.args.Text("from-file");
  if (host.has_value() == file.has_value())
    throw UsageError("one of --from-host and --from-file is needed");
  if (host)
    return ReadConfigCandidate(AskHost(context, *host, "/v1/config"),
                               host->ToString());
  const auto config = ParseFleetConfig(ReadFile(*file), *file);
  return MakeConfigCandidate(*config, config->version);
}

}  // namespace

std::vector<CliCommand> ConfigCommands::All() {
  const CliOption reason{"reason", "TEXT", "why; kept in the audit trail"};
  return {
      {"config check",
       "FILE",
       "check a configuration whole, offline",
       {},
       1,
       1,
       Check},
      {"config apply",
       "FILE",
       "put a configuration in force",
       {reason,
        {"base", "VERSION",
         "the version that FILE was made from, if FILE "
         "does not say it"}},
       1,
       1,
       Apply},
      {"config show",
       "",
       "the configuration in force in the store",
       {},
       0,
       0,
       Show},
      {"config diff",
       "FILE",
       "what differs between the store and FILE",
       {},
       1,
       1,
       Diff},
      {"config restore",
       "",
       "bring a store that came back older up to what a host has",
       {reason,
        {"from-host", "IP:PORT", "the admin listener of a host that has it"},
        {"from-file", "FILE", "a file that says its version"},
        {"above", "VERSION", "the newest version known, if not the source's"}},
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
  PresentConfig present = ReadPresent(*store);
  const uint64_t base = context.args.Number("base").value_or(file->version);
  if (base != present.snapshot.root.version)
    return TellStale(context, present, *file, base);
  ChangeRequest request;
  request.kind = ChangeKind::kApply;
  request.reason = context.args.Required("reason");
  request.summary = "applied " + context.args.positional().front();
  request.edit = ReplaceBy(file);
  return ConfigChange(context, *store, std::move(present)).Run(request);
}

ExitCode ConfigCommands::Show(const CliContext& context) {
  const auto store = OpenStore(context);
  const PresentConfig present = RequirePresent(*store);
  if (context.settings.json) {
    context.out() << WriteConfigCandidate(
        FetchConfigCandidate(*store, present.snapshot.root));
    return ExitCode::kOk;
  }
  if (!present.snapshot.root.audit_log.empty()) {
    const AuditEntry& last = present.snapshot.root.audit_log.front();
    context.out() << fmt::format("// Version {} by {} at {}: {}\n",
                                 last.version, last.author,
                                 FormatUtc(last.unix_ms), last.summary);
  }
  context.out() << WriteVersionedConfig(*present.config);
  return ExitCode::kOk;
}

ExitCode ConfigCommands::Diff(const CliContext& context) {
  const FleetConfigPtr file = ReadConfigFile(context);
  const auto store = OpenStore(context);
  const PresentConfig present = RequirePresent(*store);
  const Preview preview =
      PreviewChange(*present.config, *file, context.env.unix_ms());
  if (context.settings.json)
    context.out() << WriteJson(PreviewJson(preview));
  else if (preview.differences.empty())
    context.out() << "no differences\n";
  else
    context.out() << DescribePreview(preview);
  return ExitCode::kOk;
}

ExitCode ConfigCommands::Restore(const CliContext& context) {
  const std::string reason = context.args.Required("reason");
  const ConfigCandidate offer = ReadRestored(context);
  const FleetConfigPtr config = CheckConfigCandidate(offer);
  const auto store = OpenStore(context);
  PresentConfig present{ReadRootSnapshot(*store), nullptr};
  const uint64_t present_version = present.snapshot.root.version;
  if (offer.version <= present_version) {
    throw UsageError(fmt::format(
        "the store has version {} and needs no restore to version {}",
        present_version, offer.version));
  }
  present.config = ReadIfWhole(*store, present.snapshot);
  ChangeRequest request;
  request.kind = ChangeKind::kRestore;
  request.reason = reason;
  request.summary = fmt::format("restored version {} over version {}",
                                offer.version, present_version);
  request.edit = ReplaceBy(config);
  request.always = true;
  request.newest_known =
      std::max({offer.version, context.args.Number("above").value_or(0),
                NewestAtHosts(context, offer.version)});
  request.client_parts = offer.client_parts;
  return ConfigChange(context, *store, std::move(present)).Run(request);
}

}  // namespace toucanknot
