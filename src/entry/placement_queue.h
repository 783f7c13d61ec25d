#ifndef SRC_ENTRY_PLACEMENT_QUEUE_H_
#define SRC_ENTRY_PLACEMENT_QUEUE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>

#include "include/placing/placer.h"
#include "src/http/http_message.h"
#include "src/http/one_shot.h"
#include "src/http/planned_stop.h"

namespace toucanknot {

// Lets requests wait for the decisions of the placer. Used on one loop.
class PlacementQueue {
 public:
  PlacementQueue(boost::asio::io_context& loop,
                 Placer& placer,
                 const PlannedStop& stop);

  // Waits for the placer's decision: kSend or kRefuse. Refuses the request when
  // the host stops and `work` may no longer be sent. Returns nothing when the
  // caller disconnected.
  boost::asio::awaitable<std::optional<Placement>> Place(
      PlacementRequest request,
      PlannedStop::Work work,
      std::shared_ptr<CallerWatch> caller);
  void Finish(const PlacedAttemptResult& result);
  // Checks again whether queued requests can be sent. Call when the registry
  // changed.
  void Wake();

  uint64_t NextRequestId() { return ++last_request_id_; }

 private:
  using PlacementWaiter = OneShot<std::optional<Placement>>;

  struct Waiting {
    std::shared_ptr<PlacementWaiter> waiter;
    PlannedStop::Work work;
  };

  void Deliver();
  // Refuses requests that may no longer be sent since the host stops.
  void RefuseStopping();
  void ArmTimer();

  boost::asio::io_context& loop_;
  Placer& placer_;
  const PlannedStop& stop_;
  boost::asio::steady_timer timer_;
  bool armed_ = false;
  // Tells the timer's handler whether the queue still exists.
  const std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
  std::map<uint64_t, Waiting> waiting_;
  uint64_t last_request_id_ = 0;
};

}  // namespace toucanknot

#endif  // SRC_ENTRY_PLACEMENT_QUEUE_H_
