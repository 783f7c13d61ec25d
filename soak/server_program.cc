#include "soak/server_program.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <utility>

#include "include/base/error.h"
#include "platform/wire_decoder.h"
#include "soak/cancel_timer.h"
#include "soak/server_ledger.h"
#include "soak/soak_server.h"
#include "src/http/one_shot.h"
#include "tests/platform/platform_texts.h"

namespace toucanknot::soak {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr int kListenBacklog = 8;
constexpr int kQueueLimit = 8;
constexpr Duration kSlotPollInterval{5};
constexpr double kMeanRunMs = 120;
constexpr int64_t kDefaultDeadlineMs = 10'000;
constexpr int64_t kIdleMs = 8'000;
// Short idle timeouts often cross the next request.
constexpr int64_t kMinShortIdleMs = 30;
constexpr int64_t kMaxShortIdleMs = 1'500;
constexpr int64_t kMaxSlotHoldingMs = 100;
constexpr int64_t kMaxPauseMs = 60;
constexpr int64_t kMaxParts = 5;
constexpr int64_t kMaxLateReadMs = 200;
constexpr size_t kLongBodyBytes = 16 << 10;
constexpr size_t kMaxHeadBytes = 64 << 10;
constexpr int64_t kMaxResponseBytes = 20'000;

struct Request {
  std::string method;
  std::string target;
  // By names in lower case.
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Get(const std::string& name) const {
    const auto it = fields.find(boost::algorithm::to_lower_copy(name));
    return it == fields.end() ? std::string() : it->second;
  }
  int64_t GetNumber(const std::string& name, int64_t fallback) const {
    const std::string text = Get(name);
    std::from_chars(text.data(), text.data() + text.size(), fallback);
    return fallback;
  }
};

Request ParseHead(const std::string& head) {
  std::istringstream in(head);
  Request request;
  in >> request.method >> request.target;
  std::string line;
  std::getline(in, line);
  while (std::getline(in, line) && line.size() > 1) {
    const size_t colon = line.find(':');
    const size_t begin = line.find_first_not_of(' ', colon + 1);
    const size_t end = line.find_last_not_of("\r ");
    if (colon == std::string::npos || begin == std::string::npos || end < begin)
      continue;
    request.fields[boost::algorithm::to_lower_copy(line.substr(0, colon))] =
        line.substr(begin, end + 1 - begin);
  }
  return request;
}

class ServerProgram {
 public:
  explicit ServerProgram(const ServerProgramOptions& options)
      : options_(options),
        names_(platform::PlatformWire()),
        ledger_(options.ledger),
        random_(options.seed),
        acceptor_(loop_),
        signals_(loop_, SIGUSR1) {}

  void Run() {
    const Tcp::endpoint address(asio::ip::make_address(options_.endpoint.ip),
                                options_.endpoint.port);
    acceptor_.open(address.protocol());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    acceptor_.bind(address);
    acceptor_.listen(kListenBacklog);
    signals_.async_wait([this](const boost::system::error_code& ec, int) {
      leaving_ = leaving_ || !ec;
    });
    asio::co_spawn(loop_, AcceptLoop(), asio::detached);
    loop_.run();
  }

 private:
  struct Connection {
    explicit Connection(Tcp::socket s) : socket(std::move(s)) {}

    Tcp::socket socket;
    std::string buf;
    // The last response, for a late copy.
    std::string last;
  };

  bool Faulty() const { return SteadyNow().ms() < options_.faulty_until_ms; }
  bool Draw(double rate) {
    return Faulty() && std::uniform_real_distribution<double>()(random_) < rate;
  }
  int64_t Draw(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }
  static void Reset(Tcp::socket& socket) {
    boost::system::error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
  }
  void Record(ServerLedger::EventKind kind,
              const std::string& id,
              uint64_t digest = 0) {
    ledger_.Append({kind, options_.id, SteadyNow(), digest, id});
  }

  asio::awaitable<void> AcceptLoop() {
    for (;;) {
      auto [ec, socket] = co_await acceptor_.async_accept(kAwait);
      if (ec)
        continue;
      socket.set_option(Tcp::no_delay(true));
      asio::co_spawn(loop_, Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(Tcp::socket socket) {
    Connection it(std::move(socket));
    // Fewer while the queue is long.
    if (++open_ > options_.max_connections - waiting_) {
      co_await ResetSurplus(it);
    } else {
      if (Draw(options_.slot_holding)) {
        ++running_;
        co_await SleepFor(Duration(Draw(int64_t{1}, kMaxSlotHoldingMs)));
        --running_;
      }
      const int64_t idle_ms = Draw(options_.short_idle)
                                  ? Draw(kMinShortIdleMs, kMaxShortIdleMs)
                                  : kIdleMs;
      while (co_await ServeOne(it, idle_ms)) {
      }
    }
    --open_;
  }

  // Resets a connection beyond the limit: at once, when a request is there, or
  // after reading its head.
  asio::awaitable<void> ResetSurplus(Connection& it) {
    const int64_t variant = Draw(int64_t{0}, int64_t{2});
    if (variant == 1) {
      auto [ec] = co_await it.socket.async_wait(Tcp::socket::wait_read, kAwait);
      static_cast<void>(ec);
    } else if (variant == 2) {
      co_await ReadHead(it, kIdleMs);
    }
    Reset(it.socket);
  }

  // Returns the number of bytes of the head; 0 at the end of the connection and
  // when it was idle for too long.
  asio::awaitable<size_t> ReadHead(Connection& it, int64_t idle_ms) {
    const CancelTimer timer(loop_, it.socket, Duration(idle_ms));
    auto [ec, n] = co_await asio::async_read_until(
        it.socket, asio::dynamic_buffer(it.buf, kMaxHeadBytes), "\r\n\r\n",
        kAwait);
    co_return ec ? 0 : n;
  }

  asio::awaitable<bool> ReadBody(Connection& it, Request& request) {
    const auto size =
        static_cast<size_t>(request.GetNumber("content-length", 0));
    const size_t have = it.buf.size();
    if (have < size) {
      it.buf.resize(size);
      auto [ec, n] = co_await asio::async_read(
          it.socket, asio::buffer(it.buf.data() + have, size - have), kAwait);
      if (ec)
        co_return false;
    }
    request.body = it.buf.substr(0, size);
    it.buf.erase(0, size);
    co_return true;
  }

  // Returns whether the connection stays open.
  asio::awaitable<bool> ServeOne(Connection& it, int64_t idle_ms) {
    const size_t head = co_await ReadHead(it, idle_ms);
    if (head == 0)
      co_return false;
    Request request = ParseHead(it.buf.substr(0, head));
    it.buf.erase(0, head);
    if (!it.last.empty() && Draw(options_.late_copies) &&
        !co_await WriteLateCopy(it)) {
      co_return false;
    }
    const std::string id = request.Get(names_.request_id);
    const bool misdirected = request.Get(names_.target_server) != options_.id;
    if (!misdirected)
      Record(ServerLedger::EventKind::kArrived, id);
    const auto length = request.GetNumber("content-length", 0);
    if (length > static_cast<int64_t>(kLongBodyBytes) && !misdirected &&
        Draw(options_.early_rejection)) {
      Record(ServerLedger::EventKind::kRejected, id);
      if (!co_await Write(it, NotRun(503, id), false))
        co_return false;
      co_await SleepFor(Duration(Draw(int64_t{0}, kMaxLateReadMs)));
      if (!co_await ReadBody(it, request))
        co_return false;
      Record(ServerLedger::EventKind::kLateBody, id, Digest(request));
      co_return true;
    }
    if (!co_await ReadBody(it, request))
      co_return false;
    if (misdirected)
      co_return co_await Write(it, NotRun(421, id), false);
    if (Draw(options_.shed) || !co_await WaitForSlot(request)) {
      Record(ServerLedger::EventKind::kRejected, id);
      co_return co_await Write(it, NotRun(503, id), false);
    }
    Record(ServerLedger::EventKind::kRan, id, Digest(request));
    ++running_;
    std::exponential_distribution<double> run_time(1 / kMeanRunMs);
    co_await SleepFor(Duration(static_cast<int64_t>(run_time(random_)) + 1));
    --running_;
    co_return co_await Respond(it, id, idle_ms);
  }

  static uint64_t Digest(const Request& request) {
    return RequestDigest(request.method, request.target, request.body);
  }

  asio::awaitable<bool> WaitForSlot(const Request& request) {
    if (waiting_ >= kQueueLimit)
      co_return false;
    const Instant deadline =
        SteadyNow() +
        Duration(request.GetNumber(names_.deadline_ms, kDefaultDeadlineMs));
    ++waiting_;
    while (running_ >= options_.slots && SteadyNow() < deadline)
      co_await SleepFor(kSlotPollInterval);
    --waiting_;
    co_return running_ < options_.slots;
  }

  HttpResponse NotRun(int status, const std::string& id) const {
    HttpResponse response = TextResponse(status, "not run");
    response.fields.Add(names_.request_id, id);
    response.fields.Add(names_.not_run, "1");
    return response;
  }

  asio::awaitable<bool> Respond(Connection& it,
                                const std::string& id,
                                int64_t idle_ms) {
    HttpResponse response;
    response.status =
        Draw(options_.run_then_refuse)
            ? kRefusalStatuses[random_() % std::size(kRefusalStatuses)]
        : Draw(options_.fail) ? 500
                              : 200;
    response.body = ResponseBody(
        id, static_cast<size_t>(Draw(int64_t{1}, kMaxResponseBytes)));
    response.fields.Add(names_.request_id, id);
    response.fields.Add(names_.stamp,
                        ResponseStamp(options_.id, response.body));
    response.fields.Add(names_.load, fmt::format("{},{},{}", running_, waiting_,
                                                 options_.slots));
    if (idle_ms >= 1'000)
      response.fields.Add("Keep-Alive",
                          "timeout=" + std::to_string(idle_ms / 1'000));
    co_return co_await Write(it, std::move(response), Draw(options_.no_length));
  }

  // Returns whether the connection stays open. A response without a length ends
  // with it.
  asio::awaitable<bool> Write(Connection& it,
                              HttpResponse response,
                              bool no_length) {
    ServerNotice notice;
    notice.leaving = leaving_;
    platform::AddNotice(notice, response.fields);
    std::string out = fmt::format("HTTP/1.1 {} Status\r\n", response.status);
    for (const auto& [name, value] : response.fields.all())
      out += fmt::format("{}: {}\r\n", name, value);
    if (!no_length)
      out += fmt::format("Content-Length: {}\r\n", response.body.size());
    if (leaving_ || no_length)
      out += "Connection: close\r\n";
    out += "\r\n" + response.body;
    it.last = no_length ? "" : out;
    const bool truncated = Draw(options_.truncated);
    const std::string id(response.fields.Get(names_.request_id));
    if (truncated)
      out.resize(static_cast<size_t>(
          Draw(int64_t{0}, static_cast<int64_t>(out.size()) - 1)));
    if (truncated)
      Record(ServerLedger::EventKind::kBrokeOff, id, out.size());
    const bool written = co_await WriteParts(
        it, out, Draw(options_.in_parts) ? Draw(int64_t{2}, kMaxParts) : 1);
    // Without a length, only a reset shows that the response is not complete.
    if (truncated && (no_length || Draw(int64_t{0}, int64_t{1}) == 0))
      Reset(it.socket);
    co_return written && !truncated && !leaving_ && !no_length;
  }

  asio::awaitable<bool> WriteLateCopy(Connection& it) {
    std::string copy = it.last;
    if (Draw(options_.broken_copies))
      copy.resize(static_cast<size_t>(
          Draw(int64_t{1}, static_cast<int64_t>(copy.size()) - 1)));
    co_return co_await WriteParts(it, copy, 1);
  }

  asio::awaitable<bool> WriteParts(Connection& it,
                                   std::string_view out,
                                   int64_t parts) {
    while (!out.empty()) {
      const size_t size =
          --parts <= 0 ? out.size()
                       : static_cast<size_t>(Draw(
                             int64_t{1}, static_cast<int64_t>(out.size())));
      auto [ec, n] = co_await asio::async_write(
          it.socket, asio::buffer(out.data(), size), kAwait);
      if (ec)
        co_return false;
      out.remove_prefix(size);
      if (!out.empty())
        co_await SleepFor(Duration(Draw(int64_t{0}, kMaxPauseMs)));
    }
    co_return true;
  }

  const ServerProgramOptions options_;
  const EntryWire names_;
  ServerLedger ledger_;
  std::mt19937_64 random_;
  asio::io_context loop_;
  Tcp::acceptor acceptor_;
  asio::signal_set signals_;
  bool leaving_ = false;
  int open_ = 0;
  int running_ = 0;
  int waiting_ = 0;
};

}  // namespace

void RunServerProgram(const ServerProgramOptions& options) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ServerProgram(options).Run();
  throw Error("the server " + options.id + " has nothing left to do");
}

}  // namespace toucanknot::soak
