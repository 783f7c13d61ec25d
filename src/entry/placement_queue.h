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

namespace toucanknot {

// Lets requests wait for the placer's decisions. Used on one loop.
class PlacementQueue {
 public:
  PlacementQueue(boost::asio::io_context& loop, Placer& placer);

  // The placer's decision: kSend, or kRefuse. Nothing when the caller left.
  boost::asio::awaitable<std::optional<Placement>> Place(
      PlacementRequest item,
      std::shared_ptr<CallerWatch> caller);
  void Finish(const SendResult& result);
  // The registry changed: what waits may go now.
  void Wake();

  uint64_t NextItem() { return ++last_item_; }

 private:
  using Answer = OneShot<std::optional<Placement>>;

  void Deliver();
  void Arm();

  boost::asio::io_context& loop_;
  Placer& placer_;
  boost::asio::steady_timer timer_;
  bool armed_ = false;
  std::map<uint64_t, std::shared_ptr<Answer>> waiting_;
  uint64_t last_item_ = 0;
};

}  // namespace toucanknot

#endif  // SRC_ENTRY_PLACEMENT_QUEUE_H_
