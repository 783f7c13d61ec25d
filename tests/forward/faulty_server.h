#ifndef TESTS_FORWARD_FAULTY_SERVER_H_
#define TESTS_FORWARD_FAULTY_SERVER_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>
#include <utility>

#include "include/base/endpoint.h"

namespace toucanknot {

// Sends `head` on all of its connections at the same time, and then `piece`
// over and over. An empty piece keeps the connection open and silent.
class FaultyServer {
 public:
  FaultyServer(std::string head, const std::string& piece)
      : head_(std::move(head)) {
    while (!piece.empty() && pieces_.size() < kWriteBytes)
      pieces_ += piece;
    boost::asio::co_spawn(io_, Accept(), boost::asio::detached);
    thread_ = std::thread([this] { io_.run(); });
  }
  ~FaultyServer() {
    io_.stop();
    thread_.join();
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  using Tcp = boost::asio::ip::tcp;
  static constexpr size_t kWriteBytes = 64 << 10;
  static constexpr auto kAwait =
      boost::asio::as_tuple(boost::asio::use_awaitable);

  boost::asio::awaitable<void> Accept() {
    for (;;) {
      auto [ec, socket] = co_await acceptor_.async_accept(kAwait);
      if (!ec)
        boost::asio::co_spawn(io_, Send(std::move(socket)),
                              boost::asio::detached);
    }
  }
  boost::asio::awaitable<void> Send(Tcp::socket socket) {
    auto [ec, n] = co_await boost::asio::async_write(
        socket, boost::asio::buffer(head_), kAwait);
    while (!ec && !pieces_.empty()) {
      std::tie(ec, n) = co_await boost::asio::async_write(
          socket, boost::asio::buffer(pieces_), kAwait);
    }
    char sink[4096];
    while (!ec) {
      std::tie(ec, n) =
          co_await socket.async_read_some(boost::asio::buffer(sink), kAwait);
    }
  }

  const std::string head_;
  std::string pieces_;
  boost::asio::io_context io_;
  Tcp::acceptor acceptor_{
      io_, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  std::thread thread_;
};

}  // namespace toucanknot

#endif  // TESTS_FORWARD_FAULTY_SERVER_H_
