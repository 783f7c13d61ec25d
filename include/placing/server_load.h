#ifndef INCLUDE_PLACING_SERVER_LOAD_H_
#define INCLUDE_PLACING_SERVER_LOAD_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>

#include "include/base/clock.h"

namespace toucanknot {

// What one host has learned of one backend server since its start: how many
// requests are there, how fast it answers, how often it fails, what it handled
// lately. Does no I/O.
class ServerLoad {
 public:
  // `key` names the server in sheets.
  explicit ServerLoad(uint32_t key) : key_(key) {}

  uint32_t key() const { return key_; }

  // Requests of this host.
  int in_flight() const { return in_flight_; }
  // Requests of other hosts there, by the server's last report; it fades as
  // those requests end.
  double Others(Instant now) const;
  void OnSent(Instant now);
  void OnEnded() { in_flight_ = in_flight_ > 0 ? in_flight_ - 1 : 0; }
  // The server reported how many requests it runs and holds waiting, with an
  // answer that has been taken off in_flight().
  void OnReport(int running, int waiting, Instant now);
  // An answer took `ratio` times what was expected of a usual server.
  void OnSpeed(double ratio, Instant now);
  // How many times longer it takes than a usual server.
  double Slowness(Instant now) const;

  // An attempt failed or was refused there, or went well.
  void OnFailure(Instant now);
  void OnSuccess(Instant now);
  // The share of attempts that fail, by the last few.
  double FailureRate(Instant now) const;
  // Connections to it break: nothing is sent there for a moment, longer each
  // time.
  void Suspend(Instant now);
  // Another server has its address.
  void SuspendReplaced(Instant now) { suspended_until_ = now + kReplaced; }
  bool IsSuspended(Instant now) const { return now < suspended_until_; }
  void Resume() { suspended_until_ = Instant(); }

  // Whether `object` was handled there lately.
  bool IsWarm(uint64_t object, Instant now) const;
  void SetWarm(uint64_t object, Instant now);

  // Takes the right to send one request while the server is cold, if `rate` a
  // second allows it.
  bool TryTakeCold(double rate, Instant now);
  bool MayTakeCold(double rate, Instant now) const;

  Instant last_sent() const { return last_sent_; }

 private:
  // By then its entry is gone, which lasts for three heartbeats.
  static constexpr Duration kReplaced{5'000};

  const uint32_t key_;
  int in_flight_ = 0;
  double others_ = 0;
  Instant others_at_;
  double slowness_ = 1;
  Instant slowness_at_;
  double failure_rate_ = 0;
  Instant failure_at_;
  int breaks_ = 0;
  Instant suspended_until_;
  Instant last_sent_;
  Instant last_cold_;
  boost::unordered_flat_map<uint64_t, Instant> warm_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_SERVER_LOAD_H_
