#ifndef TESTS_FORWARD_SCRIPTED_PEER_H_
#define TESTS_FORWARD_SCRIPTED_PEER_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <istream>
#include <string>
#include <utility>

#include "include/base/endpoint.h"

namespace toucanknot {

// What a peer does with its connection after it has written its bytes.
enum class Ending { kKeep, kClose, kHalfClose, kReset };

// The bytes of a reply and how it ends.
struct ScriptedReply {
  std::string bytes;
  Ending ending = Ending::kKeep;
  // The bytes from here on are sent after the others were read.
  size_t second_part = 0;
};

// A peer on the loop of the test that replies to each request header by the
// target of the request, byte for byte. It reads no bodies.
class ScriptedPeer {
 public:
  using Script = std::function<ScriptedReply(const std::string& target)>;

  ScriptedPeer(boost::asio::io_context& loop, Script script)
      : loop_(loop),
        acceptor_(loop, {Tcp::v4(), 0}),
        script_(std::move(script)) {
    // Leaves uploads unfinished; accepted sockets inherit it.
    acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(8'192));
    boost::asio::co_spawn(loop_, Accept(), boost::asio::detached);
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  using Tcp = boost::asio::ip::tcp;
  static constexpr auto kAwait =
      boost::asio::as_tuple(boost::asio::use_awaitable);

  boost::asio::awaitable<void> Accept() {
    for (;;) {
      auto [ec, socket] = co_await acceptor_.async_accept(kAwait);
      if (ec)
        co_return;
      boost::asio::co_spawn(loop_, Serve(std::move(socket)),
                            boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Serve(Tcp::socket socket) {
    boost::asio::streambuf in;
    for (;;) {
      auto [ec, n] = co_await boost::asio::async_read_until(socket, in,
                                                            "\r\n\r\n", kAwait);
      if (ec)
        co_return;
      std::istream head(&in);
      std::string method;
      std::string target;
      head >> method >> target;
      // What follows the header is a part of a body.
      in.consume(in.size());
      const ScriptedReply reply = script_(target);
      const std::string first = reply.bytes.substr(0, reply.second_part);
      auto [first_ec, sent] = co_await boost::asio::async_write(
          socket, boost::asio::buffer(first), kAwait);
      if (!first.empty()) {
        boost::asio::steady_timer timer(loop_, std::chrono::microseconds(50));
        co_await timer.async_wait(kAwait);
      }
      auto [write_ec, written] = co_await boost::asio::async_write(
          socket, boost::asio::buffer(reply.bytes.substr(first.size())),
          kAwait);
      if (first_ec || write_ec || reply.ending == Ending::kClose)
        co_return;
      if (reply.ending == Ending::kReset) {
        socket.set_option(boost::asio::socket_base::linger(true, 0));
        // The destructor would ignore the option.
        socket.close();
        co_return;
      }
      if (reply.ending == Ending::kHalfClose)
        socket.shutdown(Tcp::socket::shutdown_send);
    }
  }

  boost::asio::io_context& loop_;
  Tcp::acceptor acceptor_;
  const Script script_;
};

}  // namespace toucanknot

#endif  // TESTS_FORWARD_SCRIPTED_PEER_H_
