#ifndef TESTS_HTTP_LATE_UPLOAD_H_
#define TESTS_HTTP_LATE_UPLOAD_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "include/base/clock.h"
#include "include/base/endpoint.h"

namespace toucanknot {

inline void SleepUntil(Instant at) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(std::max<int64_t>((at - SteadyNow()).ms(), 0)));
}

// A request with a body of 8 bytes: its head and half of the body are sent at
// `head_at`, the rest at `end_at`, or never.
struct LateUpload {
  std::string id;
  // Without Content-Length and the empty line at its end.
  std::string head;
  Instant head_at;
  Instant end_at;
  // All that was received until the connection ended.
  std::string reply = {};

  std::string Status() const {
    return reply.size() < 12 ? "none" : reply.substr(9, 3);
  }
  void Play(const Endpoint& to) {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    SleepUntil(head_at);
    boost::system::error_code ec;
    socket.connect({boost::asio::ip::make_address(to.ip), to.port}, ec);
    boost::asio::write(
        socket, boost::asio::buffer(head + "Content-Length: 8\r\n\r\nhalf"),
        ec);
    if (end_at != Instant::Never()) {
      SleepUntil(end_at);
      boost::asio::write(socket, boost::asio::buffer("half", 4), ec);
    }
    boost::asio::read(socket, boost::asio::dynamic_buffer(reply), ec);
  }
};

}  // namespace toucanknot

#endif  // TESTS_HTTP_LATE_UPLOAD_H_
