#ifndef SRC_DAEMON_SHARED_QUARANTINE_H_
#define SRC_DAEMON_SHARED_QUARANTINE_H_

#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "include/health/quarantine.h"
#include "include/steering/dispatcher.h"

namespace toucanknot {

// One service's quarantine, shared by the workers, together with the peers'
// counts of requests in flight that it needs. Thread-safe; no other lock is
// taken while its lock is held.
class SharedQuarantine {
 public:
  explicit SharedQuarantine(const HostId& host);

  void SetTunables(const Tunables& tunables);

  RunMode ModeOf(uint64_t fingerprint, Instant now);
  // Only for RunMode::kAlone, see Quarantine::TryRunAlone().
  bool TryRunAlone(uint64_t fingerprint, const ServerId& server, Instant now);
  void GiveUp(uint64_t fingerprint, Instant now);
  bool IsReserved(const ServerId& server, Instant now) const;

  void OnSent(uint64_t fingerprint, const ServerId& server, Instant now);
  void OnEnded(const AttemptResult& result, Instant now);
  void OnNotice(const CrashNotice& notice, Instant now);
  void OnPeerLoad(const PeerLoad& load, Instant now);
  // Updates the reachable hosts and drops the load of all others.
  void OnHosts(const std::vector<HostId>& live);

  std::vector<CrashNotice> TakeNotices();
  std::string Explain(Instant now) const;

 private:
  struct PeerInFlight {
    Instant time;
    std::unordered_map<ServerId, int> in_flight;
  };

  int MaxPeerInFlight(const ServerId& server, Instant since) const;

  mutable std::mutex mutex_;
  const HostId host_;
  std::map<HostId, PeerInFlight> peers_;
  std::unordered_map<ServerId, int> own_in_flight_;
  Quarantine quarantine_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_SHARED_QUARANTINE_H_
