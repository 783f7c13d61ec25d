#ifndef SRC_STEERING_WAIT_QUEUE_H_
#define SRC_STEERING_WAIT_QUEUE_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "include/base/clock.h"
#include "include/steering/dispatcher.h"
#include "include/steering/dispatcher_builder.h"

namespace toucanknot {

// The waiting requests of one service at one host, in the order in which they
// are started.
class WaitQueue {
 public:
  explicit WaitQueue(QueueOrder order) : order_(order) {}

  size_t size() const { return waiting_.size(); }
  bool empty() const { return waiting_.empty(); }

  void Push(const DispatchRequest& request, Instant now);
  // The next request to start; null when the queue is empty.
  const DispatchRequest* Next(Instant now) const;
  void Remove(uint64_t request_id);
  // Removes and returns a request whose deadline is before `time`.
  std::optional<DispatchRequest> TakeExpired(Instant time);
  // The earliest deadline; Never() when the queue is empty.
  Instant EarliestDeadline() const;
  // The age of the oldest waiting request; 0 when the queue is empty.
  Duration OldestWait(Instant now) const;

 private:
  struct Waiting {
    DispatchRequest request;
    Instant since;
  };

  const QueueOrder order_;
  uint64_t next_arrival_ = 0;
  // By order of arrival.
  std::map<uint64_t, Waiting> waiting_;
  // (deadline, order of arrival).
  std::set<std::pair<Instant, uint64_t>> deadlines_;
  boost::unordered_flat_map<uint64_t, uint64_t> arrival_of_;
};

}  // namespace toucanknot

#endif  // SRC_STEERING_WAIT_QUEUE_H_
