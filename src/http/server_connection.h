#ifndef SRC_HTTP_SERVER_CONNECTION_H_
#define SRC_HTTP_SERVER_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "include/base/clock.h"
#include "src/http/http_message.h"
#include "src/http/listener_state.h"
#include "src/http/wake_up.h"

namespace toucanknot {

// One client's connection. Reads requests, has them handled and answers in the
// order in which they came. Requests that may overlap are handed to the
// handler before those ahead of them are answered, kMostAhead at most; any
// other one waits until nothing is under way. While requests are under way the
// connection is read on, so that a client's close is seen at once.
//
// A closing answer is the last one of those that were handed to the handler:
// what follows it was never handed over. Used on its worker only, but for
// Interrupt().
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  // Requests that are under way or answered behind a slower one, at most.
  static constexpr size_t kMostAhead = 8;

  using ClosedHook = std::function<void(ServerConnection*)>;

  // `on_closed` is called once, on the worker, when the connection has ended.
  ServerConnection(std::shared_ptr<ListenerState> state,
                   boost::asio::ip::tcp::socket socket,
                   ClosedHook on_closed);

  void Start();
  // Closes the connection: if it is idle, or in any case when `force` is set.
  // May be called from any thread.
  void Interrupt(bool force);
  // On its worker, or when the workers have been stopped.
  void Close();

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using ErrorCode = boost::beast::error_code;

  // A request that was read, and its answer once there is one.
  struct Exchange {
    unsigned version = 11;
    bool keep_alive = false;
    // A HEAD request: the answer has no body.
    bool head = false;
    bool may_overlap = false;
    // Memory that the request's body has reserved.
    int64_t reserved = 0;
    std::shared_ptr<CallerWatch> caller;
    std::optional<HttpResponse> response;
  };
  using ExchangePtr = std::shared_ptr<Exchange>;
  enum class BodyRead { kDone, kNoRoom, kFailed };

  boost::asio::awaitable<void> Read();
  // Reads one request and hands it over. Returns whether to read on.
  boost::asio::awaitable<bool> ReadOne();
  boost::asio::awaitable<bool> AwaitFirstByte();
  // The bytes to reserve for the body; negative when it is over the limit.
  int64_t BodyRoom(Parser& parser) const;
  // Reads the rest of the message. A body without a stated length reserves
  // memory as it grows; kNoRoom when there is none left.
  boost::asio::awaitable<BodyRead> ReadBody(Parser& parser,
                                            Exchange& exchange,
                                            ErrorCode& ec);
  boost::asio::awaitable<bool> SendContinue(unsigned version);
  // Waits for the turn of a request; false when it is not to be served.
  boost::asio::awaitable<bool> AwaitTurn(const Exchange& exchange);
  bool IsItsTurn(const Exchange& exchange) const;
  // Reads on into the buffer, as long as it has room, so that a close behind
  // requests that wait is seen. Once a call; Notify()s released_.
  void ReadAhead();
  // Reads and drops what a client sends behind the last request that is
  // served, so that its close is seen and no reset takes its answers away.
  boost::asio::awaitable<void> Discard();
  // Answers a request that could not be read, as the last one.
  void FailRead(ErrorCode ec, const ExchangePtr& exchange);
  void Refuse(int status, const std::string& why, const ExchangePtr& exchange);

  boost::asio::awaitable<void> Work(ExchangePtr exchange, HttpRequest request);
  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);
  // Writes the answers that are due.
  boost::asio::awaitable<void> Flush();
  // Returns whether the connection stays open.
  boost::asio::awaitable<bool> Write(Exchange& exchange, bool keep_alive);
  void Finish();
  void DropExchanges();
  // The client has closed the connection.
  void OnClientLeft();

  // What the connection reads, for its time limit.
  enum class ReadPhase { kIdle, kHeader, kBody };
  // Bounds the time of what is read now. The limit counts while no request is
  // under way.
  void LimitRead(ReadPhase phase);
  Duration LimitOf(ReadPhase phase) const;
  void ArmReadTimer();
  void OnReadTimer();

  const std::shared_ptr<ListenerState> state_;
  const ClosedHook on_closed_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  boost::asio::steady_timer read_timer_;
  // Notified when an answer has been written, and at the end.
  WakeUp released_;
  const Instant connected_at_ = SteadyNow();
  std::string remote_ip_;
  // When the first byte of the request at hand was read.
  Instant began_at_;
  ReadPhase phase_ = ReadPhase::kIdle;
  Instant read_by_ = Instant::Never();
  // When the timer fires, if it is armed.
  Instant timer_at_ = Instant::Never();
  // Changes when the wait of an earlier ReadAhead() counts no more.
  int read_ahead_ = 0;
  // Under way, in the order of their answers.
  std::deque<ExchangePtr> exchanges_;
  // The next request's first byte is waited for.
  bool awaiting_ = false;
  bool writing_ = false;
  // The last answer is being written or has been.
  bool closing_ = false;
  // The end of what the client sends was read. A read after it may never end.
  bool client_left_ = false;
  // Bytes behind the last request that is served have come.
  bool discarding_ = false;
};

}  // namespace toucanknot

#endif  // SRC_HTTP_SERVER_CONNECTION_H_
