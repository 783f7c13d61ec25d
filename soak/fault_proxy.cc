#include "soak/fault_proxy.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string_view>
#include <tuple>
#include <utility>

#include "src/http/one_shot.h"

namespace toucanknot::soak {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// How often a blocked connection checks whether it may continue.
constexpr Duration kBlockedPollInterval{20};
constexpr size_t kRelayBufferBytes = 16 << 10;
// Between two bytes of a response that trickles.
constexpr Duration kTrickleInterval{50};

Tcp::endpoint AddressOf(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.ip), endpoint.port};
}

}  // namespace

FaultProxy::FaultProxy(asio::io_context& loop, Endpoint target, uint64_t seed)
    : loop_(loop),
      target_(std::move(target)),
      endpoint_{"127.0.0.1", 0},
      random_(seed) {
  Open();
}

FaultProxy::~FaultProxy() {
  Close();
}

void FaultProxy::Open() {
  if (acceptor_)
    return;
  acceptor_ = std::make_shared<Tcp::acceptor>(loop_, AddressOf(endpoint_));
  endpoint_.port = acceptor_->local_endpoint().port();
  asio::co_spawn(loop_, AcceptLoop(acceptor_), asio::detached);
}

void FaultProxy::Close() {
  if (!acceptor_)
    return;
  boost::system::error_code ec;
  // Fails only if it is closed already.
  acceptor_->close(ec);
  acceptor_.reset();
  ResetConnections();
}

void FaultProxy::Reset(Session& session) {
  for (Socket* it : {&session.client, &session.target}) {
    boost::system::error_code ec;
    // A socket that is not connected needs no reset.
    it->set_option(asio::socket_base::linger(true, 0), ec);
    it->close(ec);
  }
}

void FaultProxy::ResetConnections() {
  for (const SessionPtr& it : std::exchange(sessions_, {}))
    Reset(*it);
}

void FaultProxy::SilenceOpenConnections() {
  for (const SessionPtr& it : sessions_)
    it->silenced = true;
}

asio::awaitable<void> FaultProxy::AcceptLoop(
    std::shared_ptr<Tcp::acceptor> acceptor) {
  while (acceptor->is_open()) {
    const auto session = std::make_shared<Session>(loop_);
    auto [ec] = co_await acceptor->async_accept(session->client, kAwait);
    if (ec)
      continue;
    sessions_.insert(session);
    asio::co_spawn(loop_, Connect(session), asio::detached);
  }
}

asio::awaitable<void> FaultProxy::Connect(SessionPtr session) {
  co_await WaitUntilUnblocked(*session, true);
  auto [ec] =
      co_await session->target.async_connect(AddressOf(target_), kAwait);
  if (ec) {
    Reset(*session);
    sessions_.erase(session);
    co_return;
  }
  for (Socket* it : {&session->client, &session->target}) {
    boost::system::error_code ignored;
    it->set_option(Tcp::no_delay(true), ignored);
  }
  asio::co_spawn(loop_, Relay(session, true), asio::detached);
  co_await Relay(session, false);
  sessions_.erase(session);
}

asio::awaitable<void> FaultProxy::WaitUntilUnblocked(const Session& session,
                                                     bool to_target) {
  if (state_.delay > Duration(0))
    co_await SleepFor(state_.delay);
  while (session.client.is_open() &&
         (session.silenced ||
          !(to_target ? state_.to_target : state_.from_target))) {
    co_await SleepFor(kBlockedPollInterval);
  }
}

void FaultProxy::KeepResponse(Session& session, std::string_view bytes) {
  std::string& kept = session.last_response;
  if (!bytes.starts_with("HTTP/1.1 ")) {
    if (!kept.empty())
      kept += bytes;
    return;
  }
  const bool eligible =
      late_copies_.rate > 0 &&
      (!late_copies_.refusals_only || bytes.starts_with("HTTP/1.1 503"));
  kept = eligible ? bytes : "";
}

asio::awaitable<void> FaultProxy::WriteLateCopy(SessionPtr session) {
  std::string copy = std::exchange(session->last_response, {});
  if (copy.empty() ||
      std::uniform_real_distribution<double>()(random_) >= late_copies_.rate) {
    co_return;
  }
  if (late_copies_.broken_off) {
    copy.resize(
        std::uniform_int_distribution<size_t>(1, copy.size() - 1)(random_));
  }
  // An error shows when the next response is relayed.
  co_await asio::async_write(session->client, asio::buffer(copy), kAwait);
}

asio::awaitable<boost::system::error_code> FaultProxy::WriteResponse(
    SessionPtr session,
    std::string_view bytes) {
  const ResponseFault fault =
      bytes.starts_with("HTTP/1.1 ") ? response_fault_ : ResponseFault::kNone;
  session->trickles |= fault == ResponseFault::kTrickled;
  const size_t step = session->trickles               ? 1
                      : fault == ResponseFault::kNone ? bytes.size()
                                                      : bytes.size() / 2;
  while (!bytes.empty()) {
    auto [ec, n] = co_await asio::async_write(
        session->client, asio::buffer(bytes.substr(0, step)), kAwait);
    if (ec)
      co_return ec;
    if (fault == ResponseFault::kCut)
      co_return asio::error::connection_reset;
    session->silenced |= fault == ResponseFault::kStalled;
    if (session->silenced)
      co_await WaitUntilUnblocked(*session, false);
    if (session->trickles)
      co_await SleepFor(kTrickleInterval);
    bytes.remove_prefix(n);
  }
  co_return boost::system::error_code();
}

asio::awaitable<void> FaultProxy::Relay(SessionPtr session, bool to_target) {
  Socket& from = to_target ? session->client : session->target;
  Socket& to = to_target ? session->target : session->client;
  std::array<char, kRelayBufferBytes> buf{};
  for (;;) {
    auto [ec, n] = co_await from.async_read_some(asio::buffer(buf), kAwait);
    co_await WaitUntilUnblocked(*session, to_target);
    if (ec == asio::error::eof) {
      to.shutdown(Socket::shutdown_send, ec);
      co_return;
    }
    if (ec) {
      Reset(*session);
      co_return;
    }
    boost::system::error_code write_ec;
    if (to_target) {
      co_await WriteLateCopy(session);
      std::tie(write_ec, n) =
          co_await asio::async_write(to, asio::buffer(buf.data(), n), kAwait);
    } else {
      KeepResponse(*session, {buf.data(), n});
      write_ec = co_await WriteResponse(session, {buf.data(), n});
    }
    if (write_ec) {
      Reset(*session);
      co_return;
    }
  }
}

}  // namespace toucanknot::soak
