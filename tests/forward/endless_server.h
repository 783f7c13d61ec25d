#ifndef TESTS_FORWARD_ENDLESS_SERVER_H_
#define TESTS_FORWARD_ENDLESS_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>

#include "include/base/endpoint.h"

namespace toucanknot {

// Sends `head` and then `piece` over and over on each connection.
class EndlessServer {
 public:
  EndlessServer(std::string head, std::string piece)
      : head_(std::move(head)), thread_([this, one = std::move(piece)] {
          std::string pieces;
          while (pieces.size() < kWriteBytes)
            pieces += one;
          Run(pieces);
        }) {}
  ~EndlessServer() {
    stopping_ = true;
    // Unblocks the accept.
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    boost::system::error_code ec;
    socket.connect(acceptor_.local_endpoint(), ec);
    thread_.join();
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  uint64_t sent() const { return sent_; }

 private:
  static constexpr size_t kWriteBytes = 64 << 10;

  void Run(const std::string& pieces) {
    for (;;) {
      boost::asio::ip::tcp::socket socket(io_);
      acceptor_.accept(socket);
      if (stopping_)
        return;
      boost::system::error_code ec;
      boost::asio::write(socket, boost::asio::buffer(head_), ec);
      while (!ec)
        sent_ += boost::asio::write(socket, boost::asio::buffer(pieces), ec);
    }
  }

  const std::string head_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_{
      io_, boost::asio::ip::tcp::endpoint(boost::asio::ip::tcp::v4(), 0)};
  std::atomic<bool> stopping_{false};
  std::atomic<uint64_t> sent_{0};
  std::thread thread_;
};

}  // namespace toucanknot

#endif  // TESTS_FORWARD_ENDLESS_SERVER_H_
