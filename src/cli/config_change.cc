#include "src/cli/config_change.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <utility>

#include "include/base/utc_time.h"
#include "include/config/config_diff.h"
#include "include/config/config_text.h"
#include "include/config/json_text.h"
#include "src/cli/host_client.h"
#include "src/cli/preview.h"

namespace toucanknot {
namespace {

constexpr size_t kMaxReasonBytes = 1000;
constexpr size_t kMaxSummaryBytes = 500;
constexpr unsigned char kContinuationMask = 0xC0;
constexpr unsigned char kContinuation = 0x80;

// Truncates UTF-8 text to at most `limit` bytes without splitting a character.
std::string Truncate(const std::string& text, size_t limit) {
  if (text.size() <= limit)
    return text;
  while (limit > 0 && (static_cast<unsigned char>(text[limit]) &
                       kContinuationMask) == kContinuation)
    --limit;
  return text.substr(0, limit);
}

// Throws UsageError when `text` is not UTF-8.
void RequireUtf8(const std::string& text, const std::string& what) {
  boost::system::error_code ec;
  boost::json::parse(WriteJsonLine(boost::json::value(text)), ec);
  if (ec)
    throw UsageError(what + " is not UTF-8");
}

ExitCode ExitCodeFor(ChangeOutcome outcome) {
  switch (outcome) {
    case ChangeOutcome::kApplied:
      return ExitCode::kOk;
    case ChangeOutcome::kConflict:
      return ExitCode::kConflict;
    case ChangeOutcome::kNotApplied:
      return ExitCode::kStoreUnavailable;
    case ChangeOutcome::kUnknown:
      return ExitCode::kUnknown;
  }
  return ExitCode::kFailure;
}

// Removes the exceptions that have ended from `config` and returns a
// description of each.
std::vector<std::string> RemoveExpired(FleetConfig& config, int64_t unix_ms) {
  std::vector<std::string> expired;
  std::vector<ConfigException> kept;
  for (ConfigException& it : config.exceptions) {
    if (it.InForce(unix_ms)) {
      kept.push_back(std::move(it));
    } else {
      expired.push_back("exception " + it.id + " ended at " +
                        FormatUtc(*it.ends_unix_ms) + " (" + it.reason + ")");
    }
  }
  config.exceptions = std::move(kept);
  return expired;
}

// Formats the entries of the audit log after `version` for people.
std::string DescribeEntriesSince(const RootValue& root, uint64_t version) {
  std::string text;
  for (const AuditEntry& it : root.audit_log) {
    if (it.version > version) {
      text += "  version " + std::to_string(it.version) + " by " + it.author +
              " at " + FormatUtc(it.unix_ms) + ": " + it.summary + " (" +
              it.reason + ")\n";
    }
  }
  return text;
}

}  // namespace

std::unique_ptr<Store> OpenStore(const CliContext& context) {
  if (!context.settings.store)
    throw UsageError(
        "--store IP:PORT is required, or \"store\" in the settings");
  return context.env.open_store(*context.settings.store,
                                context.settings.timeout);
}

CurrentConfig ReadCurrentConfig(Store& store) {
  CurrentConfig current{ReadRootSnapshot(store), nullptr};
  if (current.snapshot.exists())
    current.config = CheckConfigCandidate(
        FetchConfigCandidate(store, current.snapshot.root));
  return current;
}

CurrentConfig RequireCurrentConfig(Store& store) {
  CurrentConfig current = ReadCurrentConfig(store);
  if (!current.config)
    throw UsageError("the store has no configuration yet; apply one first");
  return current;
}

uint64_t NewestVersionAtHosts(const CliContext& context, uint64_t version) {
  uint64_t newest = 0;
  for (const HostStatus& status : FetchStatuses(context)) {
    newest = std::max(newest, status.version);
    if (status.version > version) {
      context.err() << "host " << status.host << " has version "
                    << status.version << ", the store " << version << "\n";
    }
  }
  return newest;
}

ConfigChange::ConfigChange(const CliContext& context,
                           Store& store,
                           CurrentConfig current)
    : context_(context), store_(store), current_(std::move(current)) {}

FleetConfig ConfigChange::BaseConfig() const {
  return current_.config ? *current_.config : FleetConfig();
}

FleetConfigPtr ConfigChange::BuildNext(
    const ChangeRequest& request,
    std::vector<std::string>& expired) const {
  FleetConfig next = BaseConfig();
  request.edit(next);
  expired = RemoveExpired(next, context_.env.unix_ms());
  return ParseFleetConfig(WriteFleetConfig(next), "the changed configuration");
}

ExitCode ConfigChange::Run(const ChangeRequest& request) {
  if (request.reason.size() > kMaxReasonBytes)
    throw UsageError("the reason is longer than " +
                     std::to_string(kMaxReasonBytes) + " bytes");
  if (context_.settings.author.empty())
    throw UsageError("--author is required");
  RequireUtf8(request.reason, "the reason");
  RequireUtf8(request.summary, "the summary");
  RequireUtf8(context_.settings.author, "the author");
  std::vector<std::string> expired;
  const FleetConfigPtr next = BuildNext(request, expired);
  if (context_.settings.dry_run)
    return ShowPreview(*next);
  const bool unchanged =
      current_.config && DiffConfigs(*current_.config, *next).empty();
  if (unchanged && !request.write_if_unchanged) {
    context_.out() << "nothing to change\n";
    return ExitCode::kOk;
  }
  const uint64_t version = current_.snapshot.root.version;
  if (request.kind != ChangeKind::kRestore &&
      NewestVersionAtHosts(context_, version) > version) {
    context_.err() << "the store is older than the hosts; update it with "
                      "`toucanknot config restore` first\n";
    return ExitCode::kConflict;
  }
  Change change;
  change.id = NewChangeId(current_.snapshot.revision, context_.env.random());
  change.kind = request.kind;
  change.author = context_.settings.author;
  change.unix_ms = context_.env.unix_ms();
  change.reason = request.reason;
  change.summary = Truncate(request.summary, kMaxSummaryBytes);
  change.config_text = WriteFleetConfig(*next);
  change.client_parts = request.client_parts;
  change.expired = std::move(expired);
  change.newest_known = request.newest_known;
  ChangeWriter::Options options;
  options.wait = context_.env.wait;
  ChangeWriter writer(store_, options);
  return ReportResult(change, writer.Write(current_.snapshot, change));
}

ExitCode ConfigChange::ShowPreview(const FleetConfig& next) const {
  const Preview preview =
      PreviewChange(BaseConfig(), next, context_.env.unix_ms());
  if (context_.settings.json)
    context_.out() << WriteJson(PreviewJson(preview));
  else
    context_.out() << DescribePreview(preview) << "Nothing was changed.\n";
  return ExitCode::kOk;
}

ExitCode ConfigChange::ReportResult(const Change& change,
                                    const ChangeResult& result) const {
  if (result.outcome == ChangeOutcome::kConflict)
    return ReportConflict(change, result);
  const ExitCode code = ExitCodeFor(result.outcome);
  if (context_.settings.json) {
    context_.out() << WriteJson(boost::json::object{
        {"outcome", kChangeOutcomeNames.Name(result.outcome)},
        {"change", change.id},
        {"version", result.version},
        {"fault", result.error}});
    return code;
  }
  switch (result.outcome) {
    case ChangeOutcome::kApplied:
      context_.out() << "version " << result.version
                     << " was committed (change " << change.id << ")\n";
      break;
    case ChangeOutcome::kUnknown:
      context_.err() << "it is not known yet whether change " << change.id
                     << " was committed: " << result.error
                     << "\ncheck later with: toucanknot history --change "
                     << change.id << "\n";
      break;
    default:
      context_.err() << "nothing was changed: " << result.error << "\n";
  }
  return code;
}

ExitCode ConfigChange::ReportConflict(const Change& change,
                                      const ChangeResult& result) const {
  const RootValue& root = result.present.root;
  const FleetConfigPtr theirs =
      CheckConfigCandidate(FetchConfigCandidate(store_, root));
  const FleetConfigPtr mine =
      ParseFleetConfig(change.config_text, "the changed configuration");
  const auto their_differences = DiffConfigs(BaseConfig(), *theirs);
  const auto my_differences = DiffConfigs(BaseConfig(), *mine);
  if (context_.settings.json) {
    context_.out() << WriteJson(boost::json::object{
        {"outcome", kChangeOutcomeNames.Name(result.outcome)},
        {"change", change.id},
        {"version", root.version},
        {"theirs", DifferencesJson(their_differences)},
        {"mine", DifferencesJson(my_differences)}});
    return ExitCode::kConflict;
  }
  context_.err()
      << "another change was committed first; nothing was overwritten\n"
      << DescribeEntriesSince(root, current_.snapshot.root.version)
      << "Theirs:\n"
      << DescribeDifferences(their_differences) << "Yours:\n"
      << DescribeDifferences(my_differences);
  return ExitCode::kConflict;
}

}  // namespace toucanknot
