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

// A server on loopback that answers by script, byte for byte. Connection
// number i gets the answers of script[i], one for each header it sends, and
// is then closed; an empty answer holds it open, silent, until the client
// closes; kClose closes it instead of an answer.
class FakeServer {
 public:
  using Answers = std::vector<std::string>;
  static constexpr char kClose[] = "close";

  FakeServer(std::initializer_list<Answers> script)
      : script_(script), thread_([this] { Serve(); }) {}
  ~FakeServer() { thread_.join(); }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  using Tcp = boost::asio::ip::tcp;

  void Serve() {
    for (const Answers& answers : script_) {
      Tcp::socket socket(io_);
      acceptor_.accept(socket);
      for (const std::string& it : answers) {
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
  const std::vector<Answers> script_;
  std::thread thread_;
};

}  // namespace toucanknot

#endif  // TESTS_FORWARD_FAKE_SERVER_H_
