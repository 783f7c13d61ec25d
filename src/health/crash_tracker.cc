#include "include/health/crash_tracker.h"

#include <algorithm>

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

bool CrashTracker::OnBroken(uint64_t fingerprint,
                            uint32_t server,
                            Instant now) {
  if (IsMassBreak(server, now))
    return false;
  RecordCrash(fingerprint, server, now);
  own_crashes_.push_back({fingerprint, server, now});
  if (own_crashes_.size() > kMaxOwnReports)
    own_crashes_.pop_front();
  return true;
}

size_t CrashTracker::CrashedServers(uint64_t fingerprint) const {
  const auto it = records_.find(fingerprint);
  return it == records_.end() ? 0 : it->second.servers.size();
}

std::vector<CrashTracker::CrashReport> CrashTracker::OwnCrashesSince(
    Instant since) const {
  std::vector<CrashReport> out;
  for (const CrashReport& it : own_crashes_) {
    if (it.at >= since)
      out.push_back(it);
  }
  return out;
}

void CrashTracker::RecordCrash(uint64_t fingerprint,
                               uint32_t server,
                               Instant now) {
  if (records_.size() >= kMaxRecords && !records_.contains(fingerprint)) {
    records_.erase(std::min_element(records_.begin(), records_.end(),
                                    [](const auto& a, const auto& b) {
                                      return a.second.last < b.second.last;
                                    }));
  }
  Record& record = records_[fingerprint];
  if (now - record.last > kCrashLifetime)
    record.servers.clear();
  record.servers.insert(server);
  record.last = now;
}

bool CrashTracker::IsCrasher(uint64_t fingerprint, Instant now) {
  const auto it = records_.find(fingerprint);
  return it != records_.end() && now - it->second.last <= kCrashLifetime &&
         it->second.servers.size() >= kMinCrashedServers;
}

}  // namespace toucanknot
