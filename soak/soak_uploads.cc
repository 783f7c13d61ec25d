#include "soak/soak_uploads.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "soak/cancel_timer.h"
#include "src/http/one_shot.h"

namespace toucanknot::soak {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr int64_t kMinBodyBytes = 20'000;
constexpr int64_t kMaxBodyBytes = 2'000'000;
constexpr int64_t kMaxShortUploadMs = 500;
constexpr int64_t kMaxLongUploadMs = 5'000;
constexpr int kLongOneIn = 3;
constexpr int kLeaveOneIn = 10;
constexpr int64_t kParts = 12;
constexpr int64_t kMinThinkTimeMs = 50;
constexpr int64_t kMaxThinkTimeMs = 400;
// From the last byte to the response: longer than a route's timeout.
constexpr Duration kResponseTime{2'500};
// Where in the grace period of a host uploads end.
constexpr int64_t kMinEndInGraceMs = 4'500;
// Callers may have looked up a host shortly before it stops.
constexpr Duration kStillKnown{1'000};

}  // namespace

asio::awaitable<bool> SoakUploads::Connect(Connection& connection) {
  auto& hosts = fleet_.hosts();
  const Instant now = SteadyNow();
  const auto stopping =
      std::find_if(hosts.begin(), hosts.end(), [&](const SoakFleet::Host& it) {
        return it.stopped_at && now - *it.stopped_at < kStillKnown;
      });
  SoakFleet::Host& host =
      stopping != hosts.end()
          ? *stopping
          : hosts[static_cast<size_t>(Draw(0, std::ssize(hosts) - 1))];
  if (!host.process->running() || (host.stop_requested && !host.stopped_at))
    co_return false;
  connection = {Tcp::socket(fleet_.loop()), &host};
  const Endpoint& endpoint = host.caller_link->endpoint();
  auto [ec] = co_await connection.socket.async_connect(
      {asio::ip::make_address(endpoint.ip), endpoint.port}, kAwait);
  if (ec) {
    boost::system::error_code ignored;
    connection.socket.close(ignored);
  }
  co_return !ec;
}

Instant SoakUploads::DrawEnd(const SoakFleet::Host& host) {
  const Instant now = SteadyNow();
  if (host.stopped_at) {
    const Instant end =
        *host.stopped_at +
        Duration(Draw(kMinEndInGraceMs, SoakFleet::kGracePeriod.ms()));
    if (end > now)
      return end;
  }
  return now + Duration(Draw(0, Draw(1, kLongOneIn) == 1 ? kMaxLongUploadMs
                                                         : kMaxShortUploadMs));
}

asio::awaitable<bool> SoakUploads::WriteParts(Tcp::socket& socket,
                                              std::string_view text,
                                              Instant end,
                                              bool leave) {
  const size_t part = text.size() / kParts + 1;
  for (int64_t left = kParts; !text.empty(); --left) {
    if (leave && left == kParts / 2)
      co_return false;
    const size_t size = std::min(part, text.size());
    auto [ec, n] = co_await asio::async_write(
        socket, asio::buffer(text.data(), size), kAwait);
    if (ec)
      co_return false;
    text.remove_prefix(size);
    if (!text.empty() && left > 1)
      co_await SleepFor((end - SteadyNow()) / (left - 1));
  }
  co_return true;
}

asio::awaitable<void> SoakUploads::Upload(Connection& connection) {
  const bool leave = Draw(1, kLeaveOneIn) == 1;
  const Instant end = DrawEnd(*connection.host);
  const Duration length = end - SteadyNow() + kResponseTime;
  SoakCallers::Request request;
  request.id = callers_.NextId();
  request.path = fmt::format("/upload/{}", Draw(1, 1'000'000));
  const char letter = static_cast<char>(Draw('a', 'z'));
  const int64_t size = Draw(kMinBodyBytes, kMaxBodyBytes);
  request.body.assign(static_cast<size_t>(size), letter);
  request.idempotent = false;
  request.host = connection.host->id.str();
  request.timeout = length;
  request.sent_at = SteadyNow();
  fleet_.checker().OnSent(request.id, "confirm", false, request.host,
                          RequestDigest("POST", request.path, request.body),
                          request.sent_at);
  const EntryWire& names = fleet_.names();
  const std::string text = fmt::format(
      "POST {} HTTP/1.1\r\nHost: soak.example\r\n{}: {}\r\n{}: {}\r\n"
      "Content-Length: {}\r\n\r\n{}",
      request.path, names.request_id, request.id, names.deadline_ms,
      length.ms(), request.body.size(), request.body);
  ExchangeResult result;
  result.end = AttemptEnd::kBroken;
  const CancelTimer timer(fleet_.loop(), connection.socket, length);
  bool keep = co_await WriteParts(connection.socket, text, end, leave);
  if (keep)
    request.last_byte_at = SteadyNow();
  if (!leave) {
    // A host may have responded before the end of the upload.
    boost::beast::flat_buffer buf;
    http::response_parser<http::string_body> parser;
    auto [ec, n] =
        co_await http::async_read(connection.socket, buf, parser, kAwait);
    if (!ec) {
      result.end = AttemptEnd::kAnswered;
      result.response.status = static_cast<int>(parser.get().result_int());
      for (const auto& field : parser.get())
        result.response.fields.Add(field.name_string(), field.value());
      result.response.body = parser.get().body();
    }
    keep = keep && !ec && parser.get().keep_alive() && buf.size() == 0;
  }
  if (result.end != AttemptEnd::kAnswered && (timer.expired() || leave))
    result.end = AttemptEnd::kTimedOut;
  callers_.Classify(request, result);
  const bool answered = result.end == AttemptEnd::kAnswered;
  ++counts_[leave      ? "left"
            : answered ? std::to_string(result.response.status)
                       : std::string(kAttemptEndNames.Name(result.end))];
  if (!keep) {
    boost::system::error_code ignored;
    connection.socket.close(ignored);
  }
}

asio::awaitable<void> SoakUploads::RunCaller(const bool& stop) {
  Connection connection{Tcp::socket(fleet_.loop())};
  while (!stop) {
    co_await SleepFor(Duration(Draw(kMinThinkTimeMs, kMaxThinkTimeMs)));
    if (connection.socket.is_open() || co_await Connect(connection))
      co_await Upload(connection);
  }
}

}  // namespace toucanknot::soak
