#ifndef SOAK_FAULT_PROXY_H_
#define SOAK_FAULT_PROXY_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "include/base/enum_names.h"

namespace toucanknot::soak {

// How a link behaves. Bytes of a blocked direction are held back and delivered
// once it is unblocked, as after a network partition.
struct LinkState {
  // Added to each chunk of bytes, in each direction.
  Duration delay;
  // Whether bytes are relayed to the target, and from it.
  bool to_target = true;
  bool from_target = true;
};

// How a faulty target writes its last response once more, when the next request
// follows on its connection.
struct LateCopies {
  // Share of the responses, 0 to 1.
  double rate = 0;
  // Only those with status 503.
  bool refusals_only = true;
  // Broken off at a random byte, which the next response follows at once.
  bool broken_off = false;
};

// How the responses of a target break off.
enum class ResponseFault {
  kNone,
  // The connection is reset in the middle of the response.
  kCut,
  // Nothing follows the first half of the response.
  kStalled,
  // One byte at a time, also after the fault has ended.
  kTrickled,
};

inline constexpr EnumNames<ResponseFault, 4> kResponseFaultNames{
    {"none", "cut", "stalled", "trickled"}};

// A TCP proxy to one target that injects network faults on demand. Used on its
// loop only, which must be stopped before this object is destroyed.
class FaultProxy {
 public:
  // Listens on a free port of 127.0.0.1. `seed` determines which responses are
  // written again, and where the copies break off.
  FaultProxy(boost::asio::io_context& loop, Endpoint target, uint64_t seed = 1);
  ~FaultProxy();

  const Endpoint& endpoint() const { return endpoint_; }

  void SetLink(const LinkState& state) { state_ = state; }
  // Resets all connections.
  void ResetConnections();
  // Stops relaying on all open connections, in both directions; new connections
  // work.
  void SilenceOpenConnections();
  // Applies to the responses that begin from now on.
  void SetResponseFault(ResponseFault fault) { response_fault_ = fault; }
  void SetLateCopies(const LateCopies& copies) { late_copies_ = copies; }
  // Resets all connections and stops listening.
  void Close();
  // Listens again on the same port. Does nothing while it listens.
  void Open();

 private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Session {
    explicit Session(boost::asio::io_context& loop)
        : client(loop), target(loop) {}

    Socket client;
    Socket target;
    bool silenced = false;
    bool trickles = false;
    // The target's last response, if it may be written again.
    std::string last_response;
  };
  using SessionPtr = std::shared_ptr<Session>;

  boost::asio::awaitable<void> AcceptLoop(
      std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor);
  boost::asio::awaitable<void> Connect(SessionPtr session);
  boost::asio::awaitable<void> Relay(SessionPtr session, bool to_target);
  // Writes bytes of a response to the client, as the fault has it.
  boost::asio::awaitable<boost::system::error_code> WriteResponse(
      SessionPtr session,
      std::string_view bytes);
  // Keeps the bytes of a response that may be written again.
  void KeepResponse(Session& session, std::string_view bytes);
  // Writes the last response again, if that is drawn.
  boost::asio::awaitable<void> WriteLateCopy(SessionPtr session);
  boost::asio::awaitable<void> WaitUntilUnblocked(const Session& session,
                                                  bool to_target);
  static void Reset(Session& session);

  boost::asio::io_context& loop_;
  const Endpoint target_;
  Endpoint endpoint_;
  LinkState state_;
  ResponseFault response_fault_ = ResponseFault::kNone;
  LateCopies late_copies_;
  std::mt19937_64 random_;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::set<SessionPtr> sessions_;
};

}  // namespace toucanknot::soak

#endif  // SOAK_FAULT_PROXY_H_
