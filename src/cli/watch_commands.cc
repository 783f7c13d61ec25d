#include "src/cli/watch_commands.h"

#include <fmt/format.h>

#include <boost/json/value.hpp>

#include "include/base/utc_time.h"
#include "include/config/json_text.h"
#include "include/store/change_writer.h"
#include "src/cli/config_change.h"
#include "src/cli/host_client.h"

namespace toucanknot {
namespace {

constexpr uint64_t kDefaultHistoryLimit = 50;

boost::json::value AuditEntryJson(const AuditEntry& entry) {
  return boost::json::object{{"version", entry.version},
                             {"change", entry.change_id},
                             {"kind", kChangeKindNames.Name(entry.kind)},
                             {"author", entry.author},
                             {"at", FormatUtc(entry.unix_ms)},
                             {"reason", entry.reason},
                             {"summary", entry.summary},
                             {"digest", entry.digest}};
}

// The version in the store, or the error on reading it.
struct StoreVersion {
  uint64_t version = 0;
  std::string fault;
};

StoreVersion FetchStoreVersion(const CliContext& context) {
  StoreVersion result;
  if (!context.settings.store) {
    result.fault = "not set";
    return result;
  }
  try {
    result.version = ReadRootSnapshot(*OpenStore(context)).root.version;
  } catch (const Error& e) {
    result.fault = e.what();
  }
  return result;
}

boost::json::value StatusJson(const HostStatus& status) {
  if (!status.fault.empty()) {
    return boost::json::object{{"admin", status.admin.ToString()},
                               {"fault", status.fault}};
  }
  boost::json::array rejected;
  for (const HostStatus::Rejected& it : status.rejected) {
    rejected.push_back(boost::json::object{{"version", it.version},
                                           {"from", it.from},
                                           {"reason", it.reason},
                                           {"age_ms", it.age_ms}});
  }
  boost::json::object out{{"admin", status.admin.ToString()},
                          {"host", status.host},
                          {"state", status.state},
                          {"version", status.version},
                          {"digest", status.digest},
                          {"age_ms", status.age_ms},
                          {"refused", std::move(rejected)}};
  if (status.older_store_version)
    out["older_store_version"] = *status.older_store_version;
  return out;
}

std::string DescribeStatus(const HostStatus& status) {
  if (!status.fault.empty())
    return fmt::format("{:22} no response: {}\n", status.admin.ToString(),
                       status.fault);
  std::string text = fmt::format(
      "{:22} {:16} {:10} version {} since {} s\n", status.admin.ToString(),
      status.host, status.state, status.version, status.age_ms / 1000);
  if (status.older_store_version) {
    text += fmt::format(
        "    the store has the older version {}; update it with `config "
        "restore`\n",
        *status.older_store_version);
  }
  for (const HostStatus::Rejected& it : status.rejected) {
    text += fmt::format("    rejected version {} from {} {} s ago: {}\n",
                        it.version, it.from, it.age_ms / 1000, it.reason);
  }
  return text;
}

}  // namespace

std::vector<CliCommand> WatchCommands::All() {
  return {
      {"history",
       "",
       "show the audit log, newest entries first",
       {{"limit", "N", "maximum number of entries; default: 50"},
        {"change", "ID", "show only the outcome of this change"}},
       0,
       0,
       History},
      {"status",
       "",
       "show the configuration version of each host",
       {},
       0,
       0,
       Status},
      {"explain",
       "",
       "explain the result of a look-up of a service",
       {{"service", "ID", "the service"},
        {"client", "IP", "the client's IP address"}},
       0,
       0,
       Explain},
  };
}

ExitCode WatchCommands::History(const CliContext& context) {
  if (const auto id = context.args.Value("change"))
    return FindChange(context, *id);
  const auto store = OpenStore(context);
  const RootSnapshot snapshot = ReadRootSnapshot(*store);
  const auto limit =
      context.args.NumberValue("limit").value_or(kDefaultHistoryLimit);
  boost::json::array list;
  for (const AuditEntry& it : ReadAuditLog(*store, snapshot.root, limit)) {
    list.push_back(AuditEntryJson(it));
    if (!context.settings.json) {
      context.out() << fmt::format("{:>6}  {}  {:16} {}: {}\n        {} ({})\n",
                                   it.version, FormatUtc(it.unix_ms),
                                   kChangeKindNames.Name(it.kind), it.author,
                                   it.summary, it.reason, it.change_id);
    }
  }
  if (context.settings.json)
    context.out() << WriteJson(boost::json::object{
        {"version", snapshot.root.version}, {"trail", std::move(list)}});
  return ExitCode::kOk;
}

ExitCode WatchCommands::FindChange(const CliContext& context,
                                   const std::string& id) {
  const auto store = OpenStore(context);
  const ChangeResult result = ChangeWriter(*store).LookUpChange(id);
  const bool landed = result.outcome == ChangeOutcome::kApplied;
  const bool unknown = result.outcome == ChangeOutcome::kUnknown;
  const char* outcome =
      landed ? "landed" : (unknown ? "not known yet" : "not landed");
  if (context.settings.json) {
    context.out() << WriteJson(boost::json::object{
        {"change", id}, {"outcome", outcome}, {"version", result.version}});
  } else {
    context.out() << "change " << id << ": " << outcome;
    if (landed)
      context.out() << " as version " << result.version;
    if (unknown)
      context.out() << "; the next committed change resolves it";
    context.out() << '\n';
  }
  if (landed)
    return ExitCode::kOk;
  return unknown ? ExitCode::kUnknown : ExitCode::kConflict;
}

ExitCode WatchCommands::Status(const CliContext& context) {
  if (context.settings.admins.empty())
    throw UsageError(
        "--admin IP:PORT is required, or \"admins\" in the settings");
  const StoreVersion store = FetchStoreVersion(context);
  bool all_current = store.fault.empty();
  boost::json::array hosts;
  std::string text;
  for (const HostStatus& status : FetchStatuses(context)) {
    all_current =
        all_current && status.fault.empty() && status.version == store.version;
    hosts.push_back(StatusJson(status));
    text += DescribeStatus(status);
  }
  if (context.settings.json) {
    context.out() << WriteJson(
        boost::json::object{{"store_version", store.version},
                            {"store_fault", store.fault},
                            {"hosts", std::move(hosts)}});
  } else if (store.fault.empty()) {
    context.out() << "store                  version " << store.version << "\n"
                  << text;
  } else {
    context.out() << "store                  no response: " << store.fault
                  << "\n"
                  << text;
  }
  return all_current ? ExitCode::kOk : ExitCode::kFailure;
}

ExitCode WatchCommands::Explain(const CliContext& context) {
  const std::string service = context.args.RequiredValue("service");
  if (context.settings.admins.empty())
    throw UsageError(
        "--admin IP:PORT is required, or \"admins\" in the settings");
  std::string target = "/v1/explain?service=" + PercentEncode(service);
  if (const auto client = context.args.Value("client"))
    target += "&client=" + PercentEncode(*client);
  std::string faults;
  for (const Endpoint& it : context.settings.admins) {
    try {
      context.out() << WriteJson(
          ParseJson(FetchFromHost(context, it, target), it.ToString()));
      return ExitCode::kOk;
    } catch (const Error& e) {
      faults += std::string("\n") + e.what();
    }
  }
  throw Error("no host responded:" + faults);
}

}  // namespace toucanknot
