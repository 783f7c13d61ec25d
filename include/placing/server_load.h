#ifndef INCLUDE_PLACING_SERVER_LOAD_H_
#define INCLUDE_PLACING_SERVER_LOAD_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <optional>

#include "include/base/clock.h"
#include "include/placing/machine_speed.h"
#include "include/placing/server_pace.h"

namespace toucanknot {

// Load and health of one backend server, as observed by one host since the
// server started: how many requests are there, how fast it responds, how often
// it fails, and which objects it handled recently. Does no I/O.
class ServerLoad {
 public:
  // `key` identifies the server in load sheets.
  explicit ServerLoad(uint32_t key) : key_(key) {}

  uint32_t key() const { return key_; }

  // Requests of this host in flight there.
  int in_flight() const { return in_flight_; }
  // Requests of other hosts there according to the server's last report,
  // decayed with age as those requests end.
  double OthersInFlight(Instant now) const;
  void OnSent(Instant now);
  void OnEnded() { in_flight_ = in_flight_ > 0 ? in_flight_ - 1 : 0; }
  // Records a report of how many requests the server runs and queues. Call
  // after OnEnded() for the response that carried the report.
  void OnReport(int running, int waiting, Instant now);
  // Records the speed that the server's machine reported.
  void OnMachineSpeed(double work_ratio, Instant now) {
    machine_speed_ = {work_ratio, now};
  }
  const std::optional<MachineSpeed::Report>& machine_speed() const {
    return machine_speed_;
  }
  // Records that a response took `ratio` times as long as expected from a
  // typical server.
  void OnRelativeDuration(double ratio, Instant now);
  // Smoothed ratio of its response time to that of a typical server.
  double Slowness(Instant now) const;

  // Records an attempt that failed or was refused, or one that succeeded.
  void OnFailure(Instant now);
  void OnSuccess(Instant now);
  // Smoothed fraction of recent attempts that failed.
  double FailureRate(Instant now) const;
  // Stops sending to the server for a short time after a broken connection,
  // longer each time.
  void Suspend(Instant now);
  // Stops sending because another server now has its address.
  void SuspendReplaced(Instant now) {
    suspended_until_ = now + kReplacedSuspension;
  }
  bool IsSuspended(Instant now) const { return now < suspended_until_; }
  void Resume() { suspended_until_ = Instant(); }

  // Whether the server handled `object` recently.
  bool IsWarm(uint64_t object, Instant now) const;
  void SetWarm(uint64_t object, Instant now);

  // Reserves one request to a server that this host sends at most `rate`
  // requests a second, if that allows it now.
  bool TryReservePacedSend(double rate, Instant now);
  // When the next request is allowed at that rate.
  Instant NextPacedSend(double rate) const;

  // Limits the requests at the server after a start or failure.
  ServerPace& pace() { return pace_; }
  const ServerPace& pace() const { return pace_; }

  Instant last_sent() const { return last_sent_; }

 private:
  // By then its entry has expired: entries live for three heartbeats.
  static constexpr Duration kReplacedSuspension{5'000};

  const uint32_t key_;
  int in_flight_ = 0;
  double others_in_flight_ = 0;
  Instant others_at_;
  double slowness_ = 1;
  Instant slowness_at_;
  std::optional<MachineSpeed::Report> machine_speed_;
  double failure_rate_ = 0;
  Instant failure_at_;
  int broken_connections_ = 0;
  Instant suspended_until_;
  Instant last_sent_;
  ServerPace pace_;
  Instant last_paced_send_;
  boost::unordered_flat_map<uint64_t, Instant> warm_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_SERVER_LOAD_H_
