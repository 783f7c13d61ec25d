#include "src/peer/peer_session.h"

#include <openssl/rand.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <string_view>
#include <utility>
#include <vector>

#include "include/peer/envelope.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
using asio::use_awaitable;

constexpr size_t kReadBytes = 8 << 10;

std::string GenerateNonce() {
  std::string nonce(kNonceBytes, '\0');
  if (RAND_bytes(reinterpret_cast<uint8_t*>(nonce.data()), kNonceBytes) != 1)
    throw Error("generating random bytes for a nonce failed");
  return nonce;
}

}  // namespace

PeerSession::PeerSession(asio::ip::tcp::socket socket,
                         const PeerTransportOptions& options,
                         std::shared_ptr<TransportCounters> counters,
                         PeerTransport::MessageHook on_message)
    : socket_(std::move(socket)),
      watchdog_(socket_),
      options_(options),
      counters_(std::move(counters)),
      on_message_(std::move(on_message)),
      nonce_(GenerateNonce()),
      verifier_(options.keys, nonce_) {}

void PeerSession::Start(std::function<void()> on_end) {
  asio::co_spawn(
      socket_.get_executor(),
      [self = shared_from_this()]() -> asio::awaitable<void> {
        co_await self->Run();
      },
      [self = shared_from_this(),
       on_end = std::move(on_end)](const std::exception_ptr&) { on_end(); });
}

void PeerSession::Close() {
  boost::system::error_code ec;
  socket_.close(ec);
  watchdog_.Disarm();
}

asio::awaitable<void> PeerSession::Run() {
  try {
    co_await ReadFrames();
  } catch (const BadFrameError&) {
    ++counters_->bad_connections;
  } catch (const MalformedMessageError&) {
    ++counters_->bad_connections;
  } catch (const boost::system::system_error&) {
    // The peer closed the connection or it failed; there is nothing to do.
  }
  Close();
}

asio::awaitable<void> PeerSession::ReadFrames() {
  std::vector<char> buf(kReadBytes);
  watchdog_.Arm(options_.progress_limit, shared_from_this());
  co_await asio::async_write(socket_, asio::buffer(nonce_), use_awaitable);
  while (true) {
    const size_t n =
        co_await socket_.async_read_some(asio::buffer(buf), use_awaitable);
    counters_->received_bytes += n;
    verifier_.Feed(std::string_view(buf.data(), n));
    while (const auto body = verifier_.NextBody())
      Deliver(*body);
    watchdog_.Arm(options_.idle_limit, shared_from_this());
  }
}

void PeerSession::Deliver(const std::string& body) {
  const Envelope envelope = DecodeEnvelope(body);
  if (!envelope.message) {
    ++counters_->unknown_messages;
    return;
  }
  ++counters_->received_messages;
  on_message_(envelope.sender, *envelope.message);
}

}  // namespace toucanknot
