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

// The first `limit` bytes of UTF-8 text, less a character cut in two.
std::string Shortened(const std::string& text, size_t limit) {
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

ExitCode CodeOf(ChangeOutcome outcome) {
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

// Takes the exceptions that have ended out of `config`.
std::vector<std::string> TakeExpired(FleetConfig& config, int64_t unix_ms) {
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

// The trail's entries after `version`, for people.
std::string Since(const RootValue& root, uint64_t version) {
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
    throw UsageError("--store IP:PORT is needed, or \"store\" in the settings");
  return context.env.open_store(*context.settings.store,
                                context.settings.timeout);
}

PresentConfig ReadPresent(Store& store) {
  PresentConfig present{ReadRootSnapshot(store), nullptr};
  if (present.snapshot.exists())
    present.config = CheckConfigCandidate(
        FetchConfigCandidate(store, present.snapshot.root));
  return present;
}

PresentConfig RequirePresent(Store& store) {
  PresentConfig present = ReadPresent(store);
  if (!present.config)
    throw UsageError("the store has no configuration yet: apply one first");
  return present;
}

uint64_t NewestAtHosts(const CliContext& context, uint64_t version) {
  uint64_t newest = 0;
  for (const HostStatus& status : AskStatuses(context)) {
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
                           PresentConfig present)
    : context_(context), store_(store), present_(std::move(present)) {}

FleetConfig ConfigChange::Before() const {
  return present_.config ? *present_.config : FleetConfig();
}

FleetConfigPtr ConfigChange::Next(const ChangeRequest& request,
                                  std::vector<std::string>& expired) const {
  FleetConfig next = Before();
  request.edit(next);
  expired = TakeExpired(next, context_.env.unix_ms());
  return ParseFleetConfig(WriteFleetConfig(next), "the changed configuration");
}

ExitCode ConfigChange::Run(const ChangeRequest& request) {
  if (request.reason.size() > kMaxReasonBytes)
    throw UsageError("the reason is longer than " +
                     std::to_string(kMaxReasonBytes) + " bytes");
  if (context_.settings.author.empty())
    throw UsageError("--author is needed");
  RequireUtf8(request.reason, "the reason");
  RequireUtf8(request.summary, "the summary");
  RequireUtf8(context_.settings.author, "the author");
  std::vector<std::string> expired;
  const FleetConfigPtr next = Next(request, expired);
  if (context_.settings.dry_run)
    return Show(*next);
  const bool same =
      present_.config && DiffConfigs(*present_.config, *next).empty();
  if (same && !request.always) {
    context_.out() << "nothing to change\n";
    return ExitCode::kOk;
  }
  const uint64_t version = present_.snapshot.root.version;
  if (request.kind != ChangeKind::kRestore &&
      NewestAtHosts(context_, version) > version) {
    context_.err() << "the store is older than the hosts: bring it up with "
                      "`toucanknot config restore` first\n";
    return ExitCode::kConflict;
  }
  Change change;
  change.id = NewChangeId(present_.snapshot.revision, context_.env.random());
  change.kind = request.kind;
  change.author = context_.settings.author;
  change.unix_ms = context_.env.unix_ms();
  change.reason = request.reason;
  change.summary = Shortened(request.summary, kMaxSummaryBytes);
  change.config_text = WriteFleetConfig(*next);
  change.client_parts = request.client_parts;
  change.expired = std::move(expired);
  change.newest_known = request.newest_known;
  ChangeWriter::Options options;
  options.wait = context_.env.wait;
  ChangeWriter writer(store_, options);
  return Tell(change, writer.Write(present_.snapshot, change));
}

ExitCode ConfigChange::Show(const FleetConfig& next) const {
  const Preview preview = PreviewChange(Before(), next, context_.env.unix_ms());
  if (context_.settings.json)
    context_.out() << WriteJson(PreviewJson(preview));
  else
    context_.out() << DescribePreview(preview) << "Nothing was changed.\n";
  return ExitCode::kOk;
}

ExitCode ConfigChange::Tell(const Change& change,
                            const ChangeResult& result) const {
  if (result.outcome == ChangeOutcome::kConflict)
    return TellConflict(change, result);
  const ExitCode code = CodeOf(result.outcome);
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
      context_.out() << "version " << result.version << " is accepted (change "
                     << change.id << ")\n";
      break;
    case ChangeOutcome::kUnknown:
      context_.err() << "not known yet whether change " << change.id
                     << " landed: " << result.error
                     << "\nask later: toucanknot history --change " << change.id
                     << "\n";
      break;
    default:
      context_.err() << "nothing was changed: " << result.error << "\n";
  }
  return code;
}

ExitCode ConfigChange::TellConflict(const Change& change,
                                    const ChangeResult& result) const {
  const RootValue& root = result.present.root;
  const FleetConfigPtr theirs =
      CheckConfigCandidate(FetchConfigCandidate(store_, root));
  const FleetConfigPtr mine =
      ParseFleetConfig(change.config_text, "the changed configuration");
  const auto their_list = DiffConfigs(Before(), *theirs);
  const auto my_list = DiffConfigs(Before(), *mine);
  if (context_.settings.json) {
    context_.out() << WriteJson(boost::json::object{
        {"outcome", kChangeOutcomeNames.Name(result.outcome)},
        {"change", change.id},
        {"version", root.version},
        {"theirs", DifferencesJson(their_list)},
        {"mine", DifferencesJson(my_list)}});
    return ExitCode::kConflict;
  }
  context_.err() << "another change came first; nothing was overwritten\n"
                 << Since(root, present_.snapshot.root.version) << "Theirs:\n"
                 << DescribeDifferences(their_list) << "Yours:\n"
                 << DescribeDifferences(my_list);
  return ExitCode::kConflict;
}

}  // namespace toucanknot
