#ifndef INCLUDE_PLACING_SERVER_PACE_H_
#define INCLUDE_PLACING_SERVER_PACE_H_

#include <cstdint>
#include <vector>

#include "include/base/clock.h"

namespace toucanknot {

// How many requests at once one backend server may get from all hosts, for some
// time after it started, returned or failed: until it has shown that it answers
// as its peers do. Each host finds that from the responses that it gets and
// from the number of requests that the others have there; they send more only
// if they were answered well. Does no I/O. Not thread-safe.
class ServerPace {
 public:
  // Starts to limit the server after its start, which all hosts see.
  void BeginAfterStart(Instant now);
  // Starts to limit it, or limits it further, after its connection to this host
  // failed. Other hosts may still reach it.
  void BeginAfterFailure(Instant now);
  // Whether it is limited.
  bool active() const { return active_; }
  // Whether the other hosts limit it too, so that only as many hosts may begin
  // as requests are allowed.
  bool is_shared() const { return shared_; }

  // Records a request of this host. A response that is not there at `due` is
  // late for a server of usual speed.
  void OnSent(uint64_t request_id, Instant due);
  // Records that it ended, in whatever way.
  void OnEnded(uint64_t request_id);
  // Records a response that took `ratio` times as long as on a typical server.
  // Not for requests that waited there: a wait says nothing about the speed.
  void OnAnswered(double ratio, Instant now);
  // Records a request that the server rejected, failed or did not answer.
  void OnFailed(Instant now);

  // How many requests it may have at once, from all hosts. `at_others` is the
  // number of those of other hosts, as far as this one has heard, and
  // `limited_part` the fraction of the service's slots at limited servers.
  double Allowed(double at_others, double limited_part, Instant now) const;
  // Whether it is limited to less than `enough`, the most that a server gets
  // anyway.
  bool IsLimitedBelow(double enough, double at_others, Instant now) const {
    return active_ && Allowed(at_others, 0, now) < enough;
  }
  // Ends the limit once it is at least `enough`.
  void EndIfEnough(double enough, double at_others, Instant now);

 private:
  struct Sent {
    uint64_t request_id = 0;
    Instant due;
  };

  bool IsAnyLate(Instant now) const;

  bool active_ = false;
  bool shared_ = false;
  double allowed_ = 0;
  Instant changed_at_;
  std::vector<Sent> sent_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_SERVER_PACE_H_
