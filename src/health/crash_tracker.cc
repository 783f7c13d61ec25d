#include "include/health/crash_tracker.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace toucanknot {
namespace {

template <typename T>
void PushBounded(std::deque<T>& reports, const T& report) {
  reports.push_back(report);
  if (reports.size() > CrashTracker::kMaxOwnReports)
    reports.pop_front();
}

template <typename T>
std::vector<T> Since(const std::deque<T>& reports, Instant since) {
  std::vector<T> out;
  std::copy_if(reports.begin(), reports.end(), std::back_inserter(out),
               [&](const T& it) { return it.at >= since; });
  return out;
}

}  // namespace

bool CrashTracker::IsMassBreak(uint32_t server, Instant now) {
  broken_.push_back({server, now});
  while (now - broken_.front().at > kMassBreakWindow)
    broken_.pop_front();
  std::set<uint32_t> servers;
  for (const BrokenConnection& it : broken_)
    servers.insert(it.server);
  return servers.size() >= kMassBreakServers;
}

CrashTracker::Crash CrashTracker::OnBroken(uint64_t fingerprint,
                                           uint32_t server,
                                           Instant now) {
  const bool mass_break = IsMassBreak(server, now);
  const Crash crash{fingerprint, server, now,
                    mass_break || known_good_.Contains(fingerprint, now)};
  PushBounded(own_crashes_, crash);
  news_ = true;
  RecordCrash(crash, now);
  return crash;
}

void CrashTracker::OnCompleted(uint64_t fingerprint, Instant now) {
  known_good_.Add(fingerprint, now);
  const bool refused = refused_.erase(fingerprint) > 0;
  const auto it = suspects_.find(fingerprint);
  const bool suspected = it != suspects_.end() && !it->second.crashes.empty();
  if (!refused && !suspected)
    return;
  RecordCompleted({fingerprint, now});
  ReportCompleted({fingerprint, now}, now);
}

void CrashTracker::ReportCompleted(const Verdict& completed,
                                   Instant crashed_at) {
  const bool reported = std::any_of(
      own_completed_.begin(), own_completed_.end(), [&](const Verdict& it) {
        return it.fingerprint == completed.fingerprint && it.at >= crashed_at;
      });
  if (reported)
    return;
  PushBounded(own_completed_, completed);
  news_ = true;
}

CrashTracker::Suspect& CrashTracker::SuspectOf(uint64_t fingerprint) {
  if (suspects_.size() >= kMaxRecords && !suspects_.contains(fingerprint)) {
    suspects_.erase(std::min_element(suspects_.begin(), suspects_.end(),
                                     [](const auto& a, const auto& b) {
                                       return a.second.last < b.second.last;
                                     }));
  }
  return suspects_[fingerprint];
}

void CrashTracker::RecordCrash(const Crash& crash, Instant now) {
  const auto completed_at = known_good_.CompletedAt(crash.fingerprint);
  if (completed_at && *completed_at >= crash.at) {
    ReportCompleted({crash.fingerprint, *completed_at}, crash.at);
    return;
  }
  const auto refused = refused_.find(crash.fingerprint);
  if (refused != refused_.end()) {
    if (crash.at - refused->second > kRefuseFor)
      Refuse(crash.fingerprint, crash.at);
    return;
  }
  Suspect& suspect = SuspectOf(crash.fingerprint);
  if (crash.at <= suspect.completed_at)
    return;
  suspect.last = std::max(suspect.last, crash.at);
  std::erase_if(suspect.crashes, [&](const auto& it) {
    return now - it.second.at > kCrashLifetime;
  });
  suspect.crashes.try_emplace(crash.server,
                              ServerCrash{crash.at, crash.excused});
  const bool excused =
      std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
                  [](const auto& it) { return it.second.excused; });
  if (suspect.crashes.size() >= kMinCrashedServers + (excused ? 1 : 0)) {
    Refuse(crash.fingerprint, crash.at);
    news_ = true;
  }
}

void CrashTracker::Refuse(uint64_t fingerprint, Instant since) {
  if (refused_.size() >= kMaxRecords && !refused_.contains(fingerprint)) {
    refused_.erase(std::min_element(
        refused_.begin(), refused_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  refused_[fingerprint] = since;
}

void CrashTracker::RecordCompleted(const Verdict& completed) {
  const auto known = known_good_.CompletedAt(completed.fingerprint);
  if (!known || *known < completed.at)
    known_good_.Add(completed.fingerprint, completed.at);
  const auto refused = refused_.find(completed.fingerprint);
  if (refused != refused_.end() && refused->second <= completed.at)
    refused_.erase(refused);
  const auto it = suspects_.find(completed.fingerprint);
  if (it == suspects_.end())
    return;
  Suspect& suspect = it->second;
  suspect.completed_at = std::max(suspect.completed_at, completed.at);
  std::erase_if(suspect.crashes, [&](const auto& crash) {
    return crash.second.at <= suspect.completed_at;
  });
}

void CrashTracker::RecordRefused(const Verdict& refused, Instant now) {
  if (now - refused.at > kRefuseFor || IsCrasher(refused.fingerprint, now)) {
    return;
  }
  const auto completed_at = known_good_.CompletedAt(refused.fingerprint);
  const auto it = suspects_.find(refused.fingerprint);
  if ((completed_at && *completed_at >= refused.at) ||
      (it != suspects_.end() && it->second.completed_at >= refused.at)) {
    return;
  }
  Refuse(refused.fingerprint, refused.at);
}

bool CrashTracker::IsCrasher(uint64_t fingerprint, Instant now) const {
  return RefusedFor(fingerprint, now) > Duration(0);
}

Duration CrashTracker::RefusedFor(uint64_t fingerprint, Instant now) const {
  const auto it = refused_.find(fingerprint);
  if (it == refused_.end())
    return Duration(0);
  return std::max(it->second + kRefuseFor - now, Duration(0));
}

size_t CrashTracker::CrashedServers(uint64_t fingerprint) const {
  const auto it = suspects_.find(fingerprint);
  return it == suspects_.end() ? 0 : it->second.crashes.size();
}

std::vector<CrashTracker::Crash> CrashTracker::OwnCrashesSince(
    Instant since) const {
  return Since(own_crashes_, since);
}

std::vector<CrashTracker::Verdict> CrashTracker::OwnCompletedSince(
    Instant since) const {
  return Since(own_completed_, since);
}

std::vector<CrashTracker::Verdict> CrashTracker::NextRefused(size_t n,
                                                             Instant now) {
  // Kept for kRefuseFor beyond the refusal, for requests that crash a server
  // again after it.
  std::erase_if(refused_, [&](const auto& it) {
    return now - it.second > kRefuseFor + kRefuseFor;
  });
  std::vector<Verdict> out;
  auto it = refused_.upper_bound(last_reported_);
  for (size_t i = 0; i < std::min(n, refused_.size()); ++i) {
    if (it == refused_.end())
      it = refused_.begin();
    if (now - it->second <= kRefuseFor)
      out.push_back({it->first, it->second});
    last_reported_ = it->first;
    ++it;
  }
  return out;
}

bool CrashTracker::TakeNews() {
  return std::exchange(news_, false);
}

}  // namespace toucanknot
