#include "src/entry/fleet_reports.h"

namespace toucanknot {
namespace {

// Crashes are repeated in sheets for this long, so that even the farthest of
// 300 hosts gets each at least once.
constexpr Duration kRepeatCrashesFor{10'000};
// A notice repeats those of the time since the one before.
constexpr Duration kNoticeCrashesFor{1'000};
// Refused requests in one sheet; the next sheet has others.
constexpr size_t kRefusedPerSheet = 4;
// Crashes and refusals that other hosts report are dated back by the longest
// time that reports spend on the way, so that a request that completes
// meanwhile counts as completed later.
constexpr Duration kReportTransit{100};

}  // namespace

FleetReports::FleetReports(const HostId& host,
                           Incarnation incarnation,
                           Placer& placer,
                           CrashTracker& crashes)
    : host_key_(HostKey(host)),
      incarnation_(incarnation),
      placer_(placer),
      crashes_(crashes) {}

LoadSheet FleetReports::MakeSheet(Instant now) {
  LoadSheet sheet;
  sheet.host = host_key_;
  sheet.incarnation = incarnation_;
  sheet.sequence = ++sheets_made_;
  sheet.rows = placer_.OwnServerLoads();
  sheet.demands = placer_.OwnDemands(now);
  AddReports(sheet, now - kRepeatCrashesFor, now);
  return sheet;
}

std::optional<LoadSheet> FleetReports::MakeNotice(Instant now) {
  const bool crash_news = crashes_.TakeNews();
  if (!placer_.TakeLimitNews() && !crash_news)
    return std::nullopt;
  LoadSheet sheet;
  sheet.host = host_key_;
  sheet.incarnation = incarnation_;
  sheet.sequence = LoadSheet::kNoticeSequence;
  AddReports(sheet, now - kNoticeCrashesFor, now);
  return sheet;
}

void FleetReports::AddReports(LoadSheet& sheet, Instant since, Instant now) {
  sheet.limits = placer_.OwnLimits(now);
  for (const CrashTracker::Crash& it : crashes_.OwnCrashesSince(since)) {
    sheet.crashes.push_back(
        {it.fingerprint, it.server, now - it.at, it.excused});
  }
  for (const CrashTracker::Verdict& it : crashes_.OwnCompletedSince(since))
    sheet.completed.push_back({it.fingerprint, now - it.at});
  for (const CrashTracker::Verdict& it :
       crashes_.NextRefused(kRefusedPerSheet, now)) {
    sheet.refused.push_back({it.fingerprint, now - it.at});
  }
}

void FleetReports::Apply(const LoadSheet& sheet, Instant now) {
  if (sheet.sequence != LoadSheet::kNoticeSequence)
    placer_.OnPeerLoadSheet(sheet, now);
  placer_.OnPeerLimits(sheet, now);
  for (const LoadSheet::RequestReport& it : sheet.completed)
    crashes_.RecordCompleted({it.fingerprint, now - it.age});
  for (const LoadSheet::Crash& it : sheet.crashes) {
    crashes_.RecordCrash(
        {it.fingerprint, it.server, now - it.age - kReportTransit, it.excused},
        now);
  }
  for (const LoadSheet::RequestReport& it : sheet.refused) {
    crashes_.RecordRefused({it.fingerprint, now - it.age - kReportTransit},
                           now);
  }
}

}  // namespace toucanknot
