#ifndef INCLUDE_PLACING_QUEUE_POLICY_H_
#define INCLUDE_PLACING_QUEUE_POLICY_H_

#include <compare>
#include <cstdint>
#include <tuple>

namespace toucanknot {

// Rules for requests that find no free slot: where they queue, in which order
// they leave the queue of their host, and which of them are refused. They
// answer loads above the slots of a service for seconds: a burst, the first
// requests of an empty fleet, the return of all callers after an outage. Pure
// functions; times in milliseconds.

// Position of a request in the queue of its host; lower values go first.
struct QueueRank {
  // As in Route; 0 is the highest.
  int priority = 0;
  // Whether a response can no longer arrive within the target.
  bool late = false;
  // Order of arrival.
  uint64_t order = 0;
  // Start between the workspaces, which goes before the order of arrival; see
  // FairQueue.
  int64_t fair_start = 0;

  auto operator<=>(const QueueRank& o) const {
    return std::tie(priority, late, fair_start, order) <=>
           std::tie(o.priority, o.late, o.fair_start, o.order);
  }
  bool operator==(const QueueRank&) const = default;
};

// The number of requests at a server with `slots` slots from which on no
// further one is sent there. Requests beyond the slots queue at the server: its
// own queue serves those of all hosts in turn, without the delay of load
// sheets, and they stay with the server that has their objects cached. A late
// request waits at the host until a slot is free, behind those in time. While
// more urgent requests find no slot, only one request queues at a server: the
// server's queue does not know their priority.
double MaxAtServer(double slots, bool late, bool less_urgent);

// The time by which a queued request must be answered, as the time left for
// it. `to_target` is the time left to the target, `to_deadline` that to the
// deadline. While slots are scarce a request is only queued if it can meet its
// target; otherwise it is refused at once and its caller returns later. With
// `past_target` it is queued as long as it can be answered at all: a caller
// that has returned would not come a third time.
double UsefulTimeLeft(double to_target,
                      double to_deadline,
                      bool slots_scarce,
                      bool past_target);

// Whether the requests of returned callers that queue past their target are
// sent to a server in the end. They get the slots that requests in time leave
// free: under a lasting overload there are none, and returned callers are
// refused at once instead of at their deadline.
class ReturnedServed {
 public:
  // A request of a returned caller left the queue, sent or refused.
  void OnLeftQueue(bool sent);
  // A request of a returned caller was not queued since it was not likely to be
  // sent. From time to time one is queued again.
  void OnRefusedAtOnce();
  bool IsLikely() const;

 private:
  // Moving share of queued requests that were sent.
  double share_ = 1;
};

// Whether a request may be sent to a server at place `rank` (0 is the first)
// in the preference order of its object, which probably has to fetch the
// object if not `cached`. A late request may not while slots are scarce: the
// fetch takes the slot time of several cached requests that still can meet
// their target.
bool MayFetch(bool cached, int rank, bool late, bool slots_scarce);

// Estimated wait of a request behind `ahead` others in the queue of its host.
// Slots become free as fast as this host's `in_flight` requests end, each
// after `mean_ms`.
double QueueWaitMs(int ahead, int in_flight, double mean_ms);

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_QUEUE_POLICY_H_
