#include "soak/soak_server.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

#include "src/http/one_shot.h"
#include "tests/platform/platform_texts.h"

namespace toucanknot::soak {
namespace {

namespace asio = boost::asio;

constexpr uint64_t kMaxRequestBytes = 4 << 20;
constexpr size_t kMaxResponseBytes = 20'000;
// How often a waiting request checks for a free slot.
constexpr Duration kSlotPollInterval{5};
// Longer than a server takes to crash.
constexpr Duration kCrashTime{500};
// Deadline of requests that carry none.
constexpr int64_t kDefaultDeadlineMs = 10'000;

uint64_t Hash(const std::string& text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace

uint64_t RequestDigest(const std::string& method,
                       const std::string& target,
                       const std::string& body) {
  return Hash(body, Hash(target, Hash(method, 0)));
}

std::string ResponseBody(const std::string& id, size_t bytes) {
  std::string body = id + "\n";
  body.resize(std::max(bytes, body.size()), id.back());
  return body;
}

std::string ResponseStamp(const std::string& server, const std::string& body) {
  return fmt::format("{}.{:016x}", server, Hash(body, Hash(server, 0)));
}

SoakServer::SoakServer(WorkerPool& workers,
                       const EntryWire& names,
                       InvariantChecker& checker,
                       ArrivalHook on_arrival,
                       Options options)
    : names_(names),
      checker_(checker),
      on_arrival_(std::move(on_arrival)),
      options_(std::move(options)),
      random_(options_.seed),
      server_(
          workers,
          {},
          [](std::string_view) { return kMaxRequestBytes; },
          [this](HttpRequest request) {
            return HandleRequest(std::move(request));
          }) {
  link_ = std::make_unique<FaultProxy>(
      workers.loop(0), server_.Listen({"127.0.0.1", 0}), options_.seed);
  options_.entry.endpoint = link_->endpoint();
  options_.entry.incarnation = static_cast<Incarnation>(UnixMillis());
}

void SoakServer::MarkLost() {
  checker_.OnServerLost(options_.entry.id.str(), SteadyNow());
}

void SoakServer::Crash() {
  MarkLost();
  up_ = false;
  link_->Close();
}

void SoakServer::Restart(const ServerId& id, const ServiceId& service) {
  up_ = true;
  options_.entry.id = id;
  options_.entry.service = service;
  options_.entry.incarnation = static_cast<Incarnation>(UnixMillis());
  options_.entry.leaving = false;
  link_->Open();
}

HttpResponse SoakServer::NotRunResponse(int status,
                                        const std::string& id) const {
  HttpResponse response = TextResponse(status, "not run");
  response.fields.Add(names_.request_id, id);
  response.fields.Add(names_.not_run, "1");
  if (status == 503)
    AddNotices(response);
  return response;
}

void SoakServer::AddNotices(HttpResponse& response) const {
  ServerNotice notice;
  notice.leaving = options_.entry.leaving;
  notice.limit = limit_;
  const Instant now = SteadyNow();
  if (response.status == 503 && paused_until_ > now)
    notice.pause = paused_until_ - now;
  platform::AddNotice(notice, response.fields);
}

asio::awaitable<bool> SoakServer::WaitForSlot(const HttpRequest& request,
                                              Instant deadline) {
  if (waiting_ >= options_.queue_limit)
    co_return false;
  ++waiting_;
  while (running_ >= options_.entry.slots && SteadyNow() < deadline &&
         !request.caller->left()) {
    co_await SleepFor(kSlotPollInterval);
  }
  --waiting_;
  co_return running_ < options_.entry.slots && !request.caller->left();
}

int SoakServer::DrawStatus() {
  if (run_then_refuse_rate_ > 0 && Draw(run_then_refuse_rate_))
    return kRefusalStatuses[random_() % std::size(kRefusalStatuses)];
  return Draw(failure_rate_) ? 500 : 200;
}

asio::awaitable<HttpResponse> SoakServer::HandleRequest(HttpRequest request) {
  const std::string id(request.fields.Get(names_.request_id));
  if (request.fields.Get(names_.target_server) != options_.entry.id.str())
    co_return NotRunResponse(421, id);
  const std::string server = options_.entry.id.str();
  checker_.OnArrived(id, server, SteadyNow());
  on_arrival_(server, id);
  if (SteadyNow() < paused_until_ || (shed_rate_ > 0 && Draw(shed_rate_)))
    co_return NotRunResponse(503, id);
  const std::string_view text = request.fields.Get(names_.deadline_ms);
  int64_t remaining_ms = kDefaultDeadlineMs;
  std::from_chars(text.data(), text.data() + text.size(), remaining_ms);
  const Instant deadline = SteadyNow() + Duration(remaining_ms);
  if (running_ >= options_.entry.slots &&
      !co_await WaitForSlot(request, deadline)) {
    co_return NotRunResponse(503, id);
  }
  const Incarnation started_incarnation = options_.entry.incarnation;
  checker_.OnRun(id,
                 RequestDigest(request.method, request.target, request.body),
                 server, SteadyNow());
  if (request.target.find(kCrashingTarget) != std::string::npos) {
    if (on_crashing_request_(request.target, id))
      co_await SleepFor(kCrashTime);
    // After a crash, the response finds its connection reset.
    co_return NotRunResponse(503, id);
  }
  ++running_;
  std::exponential_distribution<double> run_time(
      1 / static_cast<double>(options_.mean_run_time.ms() * slowdown_));
  co_await SleepFor(Duration(static_cast<int64_t>(run_time(random_)) + 1));
  --running_;
  std::uniform_int_distribution<size_t> bytes(1, kMaxResponseBytes);
  HttpResponse response;
  response.status =
      started_incarnation == options_.entry.incarnation ? DrawStatus() : 500;
  response.body = ResponseBody(id, bytes(random_));
  response.fields.Add("Content-Type", "text/plain");
  response.fields.Add(names_.request_id, id);
  response.fields.Add(names_.stamp,
                      ResponseStamp(options_.entry.id.str(), response.body));
  response.fields.Add(names_.load, fmt::format("{},{},{}", running_, waiting_,
                                               options_.entry.slots));
  AddNotices(response);
  co_return response;
}

}  // namespace toucanknot::soak
