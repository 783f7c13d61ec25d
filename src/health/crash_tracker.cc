#include "include/health/crash_tracker.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace toucanknot {
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
  own_crashes_.push_back(crash);
  if (own_crashes_.size() > kMaxOwnReports)
    own_crashes_.pop_front();
  RecordCrash(crash, now);
  return crash;
}

void CrashTracker::OnCompleted(uint64_t fingerprint, Instant now) {
  known_good_.Add(fingerprint, now);
  refused_.erase(fingerprint);
  const auto it = suspects_.find(fingerprint);
  if (it == suspects_.end())
    return;
  it->second.crashes.clear();
  it->second.completed_at = now;
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
  if (completed_at && *completed_at >= crash.at)
    return;
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
  std::vector<Crash> out;
  std::copy_if(own_crashes_.begin(), own_crashes_.end(),
               std::back_inserter(out),
               [&](const Crash& it) { return it.at >= since; });
  return out;
}

}  // namespace toucanknot
