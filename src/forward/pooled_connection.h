#ifndef SRC_FORWARD_POOLED_CONNECTION_H_
#define SRC_FORWARD_POOLED_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "include/base/clock.h"
#include "include/base/endpoint.h"

namespace toucanknot {

// An open connection of a ConnectionPool. Operations on the stream may outlast
// the exchange that started them, so each of them holds a PooledConnectionPtr
// until it has completed.
class PooledConnection {
 public:
  // Maximum size of the read buffer.
  static constexpr size_t kMaxBufferBytes = 128 << 10;

  // `on_closed` is called when the connection is destroyed.
  PooledConnection(boost::asio::io_context& loop,
                   Endpoint to,
                   std::function<void()> on_closed)
      : endpoint(std::move(to)),
        stream(loop),
        on_closed_(std::move(on_closed)) {}
  ~PooledConnection() {
    // Close explicitly: asio's destructor would do an orderly close and ignore
    // the linger option.
    stream.close();
    if (on_closed_)
      on_closed_();
  }
  PooledConnection(const PooledConnection&) = delete;
  PooledConnection& operator=(const PooledConnection&) = delete;

  // Whether the peer has closed the connection or sent bytes that belong to no
  // exchange. Returns their number in `surplus` as far as it is known.
  bool IsUnusable(uint64_t& surplus);
  // Whether the peer ended its half of the connection with an orderly close,
  // as opposed to a reset, and no error is pending. Call after reading the end
  // of the stream.
  bool EndedCleanly();
  // Breaks the connection because its peer is silent. Pending operations end as
  // if the peer had closed.
  void BreakSilent();

  const Endpoint endpoint;
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer{kMaxBufferBytes};
  Instant last_used;
  // The peer may close the connection when it has been idle until then.
  Instant idle_until = Instant::Never();
  // Number of requests that it has carried, the one in progress included.
  int requests = 0;
  // The TCP_USER_TIMEOUT in force; see SetUserTimeout().
  Duration user_timeout;
  // The `id_hash` of the last requests, and of all that were refused.
  std::deque<uint64_t> carried;
  std::vector<uint64_t> refused;

 private:
  const std::function<void()> on_closed_;
  bool is_silent_ = false;
};

using PooledConnectionPtr = std::shared_ptr<PooledConnection>;

}  // namespace toucanknot

#endif  // SRC_FORWARD_POOLED_CONNECTION_H_
