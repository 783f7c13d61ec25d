#ifndef SRC_HTTP_SERVER_CONNECTION_H_
#define SRC_HTTP_SERVER_CONNECTION_H_

#include <atomic>
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
#include <string_view>

#include "include/base/clock.h"
#include "include/memory/memory_account.h"
#include "src/http/http_message.h"
#include "src/http/lingering_close.h"
#include "src/http/listener_state.h"
#include "src/http/wake_up.h"

namespace toucanknot {

// The connection of one client. Reads requests, passes them to the handler and
// writes the responses in the order of the requests. Requests that may overlap
// are passed to the handler before earlier ones have responses, up to
// kMaxPipelined requests at a time; any other request waits until no request is
// pending. The connection is read also while requests are pending, to detect
// immediately when the client closes it.
//
// The response that closes the connection belongs to the last request that was
// passed to the handler: later requests were never passed to it. Used only on
// its worker, except for Interrupt() and OnStopBegun().
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  // Maximum number of requests that are being handled or whose responses wait
  // for an earlier response.
  static constexpr size_t kMaxPipelined = 8;

  using ClosedHook = std::function<void(ServerConnection*)>;

  // Calls `on_closed` once, on the worker, when the connection is closed.
  ServerConnection(std::shared_ptr<ListenerState> state,
                   boost::asio::ip::tcp::socket socket,
                   ClosedHook on_closed);

  void Start();
  // Ends the connection if it is idle: closes it once the client has the last
  // response, during a stop once the client closes it. Thread-safe.
  void Interrupt();
  // Closes the connection at once. Thread-safe.
  void Abort();
  // Reads and discards what has arrived, and ends the sending half.
  // Thread-safe.
  void DiscardUnread();
  // Since when the client has acknowledged everything on a connection that only
  // waits for it to have the last response; Never() while it has not, empty on
  // any other connection. Thread-safe.
  std::optional<Instant> LingeringSince() const;
  // Closes such a connection at once. Returns whether it will. Thread-safe.
  bool GiveWay();
  // Applies the time limit for bodies to a request that is being read.
  // Thread-safe.
  void OnStopBegun();
  // Memory that the connection holds and that closing it frees without breaking
  // off a request that is being handled.
  struct Held {
    int64_t bytes = 0;
    // Connections with the largest product of bytes and time go first.
    int64_t weight = 0;
    // Between two requests; goes after all that are not.
    bool idle = false;
  };
  // Thread-safe.
  Held HeldFor(MemoryUse use) const;
  // Closes the connection if it still holds memory for `use` in that way.
  // Thread-safe.
  void Evict(MemoryUse use);
  // Must be called on the worker, or after the workers have been stopped.
  void Close(CloseReason reason);

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using ErrorCode = boost::beast::error_code;

  // A received request and its response, once there is one.
  struct Exchange {
    unsigned version = 11;
    bool keep_alive = false;
    // Set for a HEAD request, whose response has no body.
    bool head = false;
    bool may_overlap = false;
    // Rejected before it was read completely.
    bool rejected = false;
    // For the request, until the handler is done with it.
    MemoryReservation fields;
    MemoryReservation body;
    std::shared_ptr<CallerWatch> caller;
    std::optional<HttpResponse> response;
  };
  using ExchangePtr = std::shared_ptr<Exchange>;
  enum class Reading { kDone, kNoRoom, kFailed };

  boost::asio::awaitable<void> Read();
  // Reads one request and passes it to the handler. Returns whether to continue
  // reading.
  boost::asio::awaitable<bool> ReadOne();
  boost::asio::awaitable<bool> AwaitFirstByte();
  // Resizes a reservation for a head. If there is no memory, closes idle and
  // incomplete connections and waits for a moment. Returns false if there still
  // is none.
  boost::asio::awaitable<bool> ReserveHead(MemoryReservation& reservation,
                                           int64_t bytes);
  // Whether heads may take up the memory that `bytes` for one of them need. A
  // part of it is kept for heads of ordinary size.
  bool MayReserveHead(const MemoryReservation& reservation,
                      int64_t bytes) const;
  // The size of the read buffer with room for `free_bytes` more.
  size_t BufferSizeFor(size_t free_bytes) const;
  // Makes room in the read buffer, if there is memory for it.
  bool GrowBuffer(size_t free_bytes);
  boost::asio::awaitable<bool> AwaitBuffer(size_t free_bytes);
  void ShrinkBuffer();
  // Reads and parses the head of a request, once it is complete.
  boost::asio::awaitable<Reading> ReadHead(Parser& parser,
                                           Exchange& exchange,
                                           ErrorCode& ec);
  // Reads into the buffer what has arrived, at least one byte.
  boost::asio::awaitable<ErrorCode> Receive();
  // Sets `arrived_at_` after a read.
  void NoteArrival();
  std::string_view Buffered() const;
  // The number of bytes to reserve for the body; negative when it exceeds the
  // limit.
  int64_t BodyRoom(Parser& parser) const;
  // Reads the rest of the message, unless it is rejected meanwhile, after a 100
  // (Continue) if the client waits for one.
  boost::asio::awaitable<Reading> ReceiveBody(Parser& parser,
                                              ExchangePtr exchange,
                                              ErrorCode& ec);
  // Reads the rest of the message. For a body without Content-Length, reserves
  // memory as the body grows; returns kNoRoom when the limit is reached.
  boost::asio::awaitable<Reading> ReadBody(Parser& parser,
                                           Exchange& exchange,
                                           ErrorCode& ec);
  // Rejects the request whose body is being read once it can no longer be
  // served before the process ends.
  void LimitBodyTime();
  void RejectBody();
  HttpRequest HeadOfBody() const;
  // Makes room for what one read can add to a body of unknown length.
  bool GrowBody(Parser& parser, Exchange& exchange);
  boost::asio::awaitable<bool> SendContinue(unsigned version);
  // Waits until the request may be passed to the handler. Returns false when it
  // must not be served.
  boost::asio::awaitable<bool> AwaitTurn(const Exchange& exchange);
  bool IsItsTurn(const Exchange& exchange) const;
  // Reads once into the buffer, if it has space, to detect a close while
  // requests wait. Notifies `wake_up_` when done.
  void ReadAhead();
  // Reads and discards what the client sends after the last request that is
  // served, to detect its close and to avoid a reset, which would make the
  // client lose responses.
  boost::asio::awaitable<void> Discard();
  // Discards until the client has closed, or the connection is closed after the
  // client had time to read the last responses.
  boost::asio::awaitable<void> AwaitDelivery();
  // Handles a read error: sends an error response, the last one of the
  // connection, or notes that the client left.
  void FailRead(ErrorCode ec, const ExchangePtr& exchange);
  void Reject(int status, const std::string& why, const ExchangePtr& exchange);
  void Reject(HttpResponse response, const ExchangePtr& exchange);

  boost::asio::awaitable<void> ServeRequest(ExchangePtr exchange,
                                            HttpRequest request);
  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);
  // Bytes held for complete responses.
  int64_t UnsentBytes() const;
  // Whether the client has acknowledged a part of the responses since the last
  // call, though too little for the kernel to take more. Counts as progress.
  bool ClientReads();
  // Publishes what HeldFor() returns.
  void UpdateHeld();
  // Writes the responses that are complete and next in order.
  boost::asio::awaitable<void> Flush();
  // Returns whether the response was written completely.
  boost::asio::awaitable<bool> Write(Exchange& exchange, bool keep_alive);
  // Ends the sending half, and closes the connection: at once if its client
  // will send nothing that would be answered with a reset, else as
  // LingeringClose decides.
  void Finish();
  // Whether the client may send more before it has read the last response. One
  // that waits for each response does not, unless a response takes long.
  bool MaySendOn() const;
  void Linger();
  void SetLingering(bool lingering);
  // Closes the connection without a further response, once the client has the
  // last one.
  void EndAfterDelivery();
  // Bytes of responses that the client has not acknowledged; empty if it is not
  // known.
  std::optional<int64_t> Undelivered();
  // Counts a connection that is about to be closed.
  void NoteClose(CloseReason reason);
  void DropExchanges();
  // Called when the client has closed the connection.
  void OnClientLeft();

  // What the connection is reading; determines the time limit.
  enum class ReadPhase { kIdle, kHeader, kBody };
  // Starts the time limit for `phase`. The limit applies only while no request
  // is pending.
  void StartReadLimit(ReadPhase phase);
  Duration TimeLimitOf(ReadPhase phase) const;
  void ArmReadTimer();
  void OnReadTimer();

  // What a connection takes apart from its buffer: objects, timers and the
  // frames of its coroutines; see docs/FORWARDING.md.
  static constexpr int64_t kConnectionBytes = 5 << 10;
  // Smaller responses are part of kConnectionBytes, and have arrived soon.
  static constexpr size_t kSmallResponseBytes = 2 << 10;
  static constexpr size_t kFirstReadBytes = 512;
  // Whether bytes of the client are waiting to be read.
  bool HasUnread();

  const std::shared_ptr<ListenerState> state_;
  const ClosedHook on_closed_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  boost::asio::steady_timer read_timer_;
  // The request whose body is being read, and the time limit for it.
  const Parser* body_parser_ = nullptr;
  ExchangePtr body_exchange_;
  std::optional<boost::asio::steady_timer> body_timer_;
  bool sending_continue_ = false;
  // Notified when a response was written, after ReadAhead() and on Close().
  WakeUp wake_up_;
  const Instant connected_at_ = SteadyNow();
  std::string remote_ip_;
  // For the connection itself and its read buffer.
  MemoryReservation memory_;
  // What HeldFor() returns, for other threads.
  std::atomic<int64_t> held_head_bytes_{0};
  std::atomic<int64_t> unsent_bytes_{0};
  std::atomic<bool> held_idle_{false};
  std::atomic<int64_t> held_since_ms_{0};
  // When the response was last written to.
  std::atomic<int64_t> progress_at_ms_{0};
  // When the last bytes that were read had arrived.
  Instant arrived_at_;
  // When the first byte of the current request had arrived.
  Instant began_at_;
  ReadPhase phase_ = ReadPhase::kIdle;
  Instant read_by_ = Instant::Never();
  // When the timer fires; Never() when it is not armed.
  Instant timer_at_ = Instant::Never();
  // Incremented to invalidate the pending wait of an earlier ReadAhead().
  int read_ahead_ = 0;
  // Pending requests, in the order of their responses.
  std::deque<ExchangePtr> exchanges_;
  // Set while waiting for the first byte of the next request.
  bool awaiting_ = false;
  // Set from then until the head is complete.
  bool reading_head_ = false;
  // When writing the oldest response began.
  Instant write_began_at_;
  bool writing_ = false;
  // Set when the last response of the connection is being or has been written.
  bool closing_ = false;
  // Set when the end of the client's data was read. Another read may never
  // complete.
  bool client_left_ = false;
  // The client sent something before it had all responses.
  bool sent_on_ = false;
  size_t last_response_bytes_ = 0;
  // Set when the sending half has ended.
  std::optional<LingeringClose> close_wait_;
  std::atomic<bool> lingering_{false};
  std::atomic<bool> giving_way_{false};
  std::atomic<int64_t> delivered_at_ms_{Instant::Never().ms()};
  // As of the last ClientReads().
  std::optional<int64_t> unread_by_client_;
  // As of the last time limit of an idle connection.
  std::optional<int64_t> undelivered_ = 0;
};

}  // namespace toucanknot

#endif  // SRC_HTTP_SERVER_CONNECTION_H_
