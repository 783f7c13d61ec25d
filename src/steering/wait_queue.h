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

// The requests of one service that wait at one host, in the order in which
// they are to be started.
class WaitQueue {
 public:
  explicit WaitQueue(QueueOrder order) : order_(order) {}

  size_t size() const { return items_.size(); }
  bool empty() const { return items_.empty(); }

  void Push(const DispatchRequest& request, Instant now);
  // Null when nothing waits.
  const DispatchRequest* Next(Instant now) const;
  void Remove(uint64_t request_id);
  // Takes out one whose deadline is before `time`.
  std::optional<DispatchRequest> TakeExpired(Instant time);
  // The earliest deadline; Never() when nothing waits.
  Instant EarliestDeadline() const;
  // How long the one that waits longest has waited.
  Duration OldestWait(Instant now) const;

 private:
  struct Waiting {
    DispatchRequest request;
    Instant since;
  };

  const QueueOrder order_;
  uint64_t next_ = 0;
  // By order of arrival.
  std::map<uint64_t, Waiting> items_;
  // (deadline, order of arrival).
  std::set<std::pair<Instant, uint64_t>> deadlines_;
  boost::unordered_flat_map<uint64_t, uint64_t> place_of_;
};

}  // namespace toucanknot

#endif  // SRC_STEERING_WAIT_QUEUE_H_
