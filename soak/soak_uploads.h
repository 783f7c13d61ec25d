#ifndef SOAK_SOAK_UPLOADS_H_
#define SOAK_SOAK_UPLOADS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <random>
#include <string>

#include "soak/soak_callers.h"
#include "soak/soak_fleet.h"

namespace toucanknot::soak {

// Callers that upload long bodies in parts with pauses, over kept connections,
// and sometimes leave midway. At a host that stops, uploads end late in its
// grace period. Used on one loop only.
class SoakUploads {
 public:
  // `callers` judges the responses.
  SoakUploads(SoakFleet& fleet, SoakCallers& callers, uint64_t seed)
      : fleet_(fleet), callers_(callers), random_(seed) {}

  // Sends uploads, one after the other, until `stop` is set.
  boost::asio::awaitable<void> RunCaller(const bool& stop);

  // Number of uploads by how they ended.
  const std::map<std::string, int>& counts() const { return counts_; }

 private:
  struct Connection {
    boost::asio::ip::tcp::socket socket;
    SoakFleet::Host* host = nullptr;
  };

  // Connects to a host, one that has just begun to stop if there is one;
  // returns whether that worked.
  boost::asio::awaitable<bool> Connect(Connection& connection);
  // Sends one upload and reads the response. Closes the connection unless it
  // may be used again.
  boost::asio::awaitable<void> Upload(Connection& connection);
  // When the last byte of an upload that begins now is sent.
  Instant DrawEnd(const SoakFleet::Host& host);
  // Writes `text` in parts until `end`. Leaves midway if `leave` is set.
  // Returns whether all was written.
  boost::asio::awaitable<bool> WriteParts(boost::asio::ip::tcp::socket& socket,
                                          std::string_view text,
                                          Instant end,
                                          bool leave);
  int64_t Draw(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }

  SoakFleet& fleet_;
  SoakCallers& callers_;
  std::mt19937_64 random_;
  std::map<std::string, int> counts_;
};

}  // namespace toucanknot::soak

#endif  // SOAK_SOAK_UPLOADS_H_
