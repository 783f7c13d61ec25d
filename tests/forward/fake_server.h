#ifndef TESTS_FORWARD_FAKE_SERVER_H_
#define TESTS_FORWARD_FAKE_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <initializer_list>
#include <string>
#include <thread>
#include <vector>

#include "include/base/endpoint.h"

namespace toucanknot {

// A server on loopback that responds by script, byte for byte. Connection
// number i gets the responses of script[i], one for each request header it
// sends, and is then closed. An empty response keeps the connection open and
// silent until the client closes it; kClose closes it instead of responding.
class FakeServer {
 public:
  using Responses = std::vector<std::string>;
  static constexpr char kClose[] = "close";

  FakeServer(std::initializer_list<Responses> script)
      : script_(script), thread_([this] { Serve(); }) {}
  ~FakeServer() { thread_.join(); }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  using Tcp = boost::asio::ip::tcp;

  void Serve() {
    for (const Responses& responses : script_) {
      Tcp::socket socket(io_);
      acceptor_.accept(socket);
      for (const std::string& it : responses) {
        boost::asio::streambuf in;
        boost::system::error_code ec;
        boost::asio::read_until(socket, in, "\r\n\r\n", ec);
        if (it == kClose)
          break;
        if (!ec && !it.empty())
          boost::asio::write(socket, boost::asio::buffer(it), ec);
        else if (!ec)
          boost::asio::read_until(socket, in, "never sent", ec);
      }
    }
  }

  boost::asio::io_context io_;
  Tcp::acceptor acceptor_{io_, Tcp::endpoint(Tcp::v4(), 0)};
  const std::vector<Responses> script_;
  std::thread thread_;
};

}  // namespace toucanknot

#endif  // TESTS_FORWARD_FAKE_SERVER_H_
