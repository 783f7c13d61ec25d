#include "soak/soak_callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <utility>

#include "src/http/one_shot.h"

namespace toucanknot::soak {
namespace {

namespace asio = boost::asio;

constexpr Duration kLookUpEvery{1'000};
constexpr Duration kLookUpLimit{1'000};
constexpr int kLookUpTries = 3;
// Mean pause between the requests of one caller; uniform in 0.5 to 1.5 times.
constexpr int64_t kThinkMs = 60;
// How long callers wait for a response: longer than the route's timeout, so
// that the host ends the request first. One in thirty disconnects early.
constexpr Duration kPatience{2'500};
constexpr Duration kImpatience{80};
constexpr int kImpatientOneIn = 30;
constexpr int kNewConnectionOneIn = 4;
constexpr int64_t kObjects = 60;
constexpr size_t kBodyBytes = 1'200;
constexpr Duration kProbeEvery{250};
// Responses by the previous version are allowed for this long after a change,
// because they may have been under way.
constexpr Duration kDowngradeSlack{250};
// A request that fails within this time after the grace period counts as cut
// off by the planned stop.
constexpr Duration kAfterGrace{1'000};

bool IsPromise(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

}  // namespace

SoakCallers::SoakCallers(asio::io_context& loop,
                         SoakFleet& fleet,
                         const EntryWire& names,
                         InvariantChecker& ledger,
                         uint64_t seed)
    : loop_(loop),
      fleet_(fleet),
      names_(names),
      ledger_(ledger),
      random_(seed) {}

std::string SoakCallers::NextId() {
  return fmt::format("{:016x}", (random_() << 20) + ++next_id_);
}

asio::awaitable<void> SoakCallers::LookUp(Caller& caller) {
  if (!caller.addresses.empty() &&
      SteadyNow() - caller.asked_at < kLookUpEvery) {
    co_return;
  }
  for (int i = 0; i < kLookUpTries; ++i) {
    const auto host = static_cast<size_t>(
        Draw(0, static_cast<int64_t>(fleet_.hosts().size()) - 1));
    HttpRequest request;
    request.method = "GET";
    request.target =
        names_.lookup_path + "?" + names_.lookup_region + "=" + caller.region;
    request.fields.Add("Host", "directory");
    ExchangeOptions options;
    options.deadline = SteadyNow() + kLookUpLimit;
    const ExchangeResult result = co_await caller.connections.Exchange(
        fleet_.hosts()[host].directory, std::move(request), std::move(options));
    if (result.end != AttemptEnd::kAnswered || result.response.status != 200)
      continue;
    const boost::json::value answer = boost::json::parse(result.response.body);
    caller.addresses.clear();
    for (const auto& it : answer.as_object().begin()->value().as_array()) {
      if (auto address = Endpoint::Parse(std::string(it.as_string())))
        caller.addresses.push_back(*address);
    }
    caller.asked_at = SteadyNow();
    co_return;
  }
}

asio::awaitable<ExchangeResult> SoakCallers::Send(Caller& caller,
                                                  Request& call) {
  const auto pick = static_cast<size_t>(
      Draw(0, static_cast<int64_t>(caller.addresses.size()) - 1));
  SoakFleet::Host* host = fleet_.FindHost(caller.addresses[pick]);
  if (host == nullptr) {
    ledger_.Report(InvariantViolation::kWrongAnswer,
                   "the directory returned an address that no host listens on");
    co_return ExchangeResult{};
  }
  call.id = NextId();
  call.host = host->id.str();
  call.sent_at = SteadyNow();
  HttpRequest request;
  request.method = call.idempotent ? "GET" : "POST";
  request.target = call.path;
  request.body = call.body;
  request.fields.Add("Host", "soak.example");
  request.fields.Add(names_.request_id, call.id);
  request.fields.Add(names_.object, std::to_string(Draw(1, kObjects)));
  request.fields.Add(names_.deadline_ms, std::to_string(call.patience.ms()));
  ledger_.OnSent(call.id, call.idempotent ? "lookup" : "confirm",
                 call.idempotent, call.host,
                 DigestOf(request.method, request.target, request.body),
                 call.sent_at);
  ExchangeOptions options;
  options.deadline = call.sent_at + call.patience;
  options.new_connection = Draw(1, kNewConnectionOneIn) == 1;
  // Longer than any request: the hosts must handle a silent link, not the
  // callers.
  options.silent_after = Duration(60'000);
  co_return co_await caller.connections.Exchange(
      host->caller_link->endpoint(), std::move(request), std::move(options));
}

void SoakCallers::CheckAnswer(const Request& call,
                              const HttpResponse& response) {
  const std::string_view mark = response.fields.Get(names_.stamp);
  const std::string server(mark.substr(0, mark.find('.')));
  if (mark == AnswerMark(server, response.body) &&
      response.body.starts_with(call.id + "\n") &&
      response.fields.Get(names_.request_id) == call.id) {
    return;
  }
  ledger_.Report(
      InvariantViolation::kWrongAnswer,
      fmt::format("{} got a wrong response from {}", call.id, call.host));
}

SoakCallers::Outcome SoakCallers::Judge(const Request& call,
                                        const ExchangeResult& result) {
  const bool answered = result.end == AttemptEnd::kAnswered;
  const int status = result.response.status;
  if (answered && status < 300) {
    CheckAnswer(call, result.response);
    return Outcome::kServed;
  }
  if (answered && IsPromise(status)) {
    ledger_.OnRefused(call.id);
    return Outcome::kRefused;
  }
  if (answered && status < 500) {
    ledger_.Report(InvariantViolation::kOldConfig,
                   fmt::format("{} was rejected by {} with status {}", call.id,
                               call.host, status));
  }
  if (result.end == AttemptEnd::kTimedOut)
    ledger_.OnLeft(call.id, SteadyNow());
  if (answered || result.end == AttemptEnd::kTimedOut)
    return Outcome::kFailed;
  const auto& hosts = fleet_.hosts();
  const auto host = std::find_if(
      hosts.begin(), hosts.end(),
      [&](const SoakFleet::Host& it) { return it.id.str() == call.host; });
  const Instant now = SteadyNow();
  const bool stopping = host->stopped_at && now - *host->stopped_at <
                                                SoakFleet::kGrace + kAfterGrace;
  if (stopping && ledger_.HasArrived(call.id) &&
      fleet_.times().CalmSince(FaultTimes::kUnplanned, call.sent_at) &&
      fleet_.times().CalmSince(FaultTimes::kStore, call.sent_at)) {
    ledger_.Report(
        InvariantViolation::kCutByStop,
        fmt::format("{} was cut off by {} {} ms after its SIGTERM", call.id,
                    call.host, (now - *host->stopped_at).ms()));
  }
  return Outcome::kFailed;
}

asio::awaitable<void> SoakCallers::Call(int number, const bool& stop) {
  Caller caller(loop_);
  caller.region = fmt::format("region-{}", number % 2);
  while (!stop) {
    co_await SleepFor(Duration(Draw(kThinkMs / 2, kThinkMs * 3 / 2)));
    co_await LookUp(caller);
    if (caller.addresses.empty())
      continue;
    Request call;
    call.idempotent = Draw(0, 2) > 0;
    call.path = fmt::format("/{}/{}", call.idempotent ? "lookup" : "confirm",
                            Draw(1, 1'000'000));
    if (!call.idempotent)
      call.body.assign(kBodyBytes, static_cast<char>(Draw('a', 'z')));
    call.patience = Draw(1, kImpatientOneIn) == 1 ? kImpatience : kPatience;
    ExchangeResult result = co_await Send(caller, call);
    Outcome outcome = Judge(call, result);
    const bool may_repeat = outcome == Outcome::kRefused || call.idempotent;
    if (outcome != Outcome::kServed && may_repeat &&
        call.patience == kPatience) {
      const std::string wait(result.response.fields.Get("Retry-After"));
      const double seconds = wait.empty() ? 0 : std::stod(wait);
      co_await SleepFor(std::min(Duration(static_cast<int64_t>(seconds * 1e3)),
                                 kPatience / 3));
      result = co_await Send(caller, call);
      outcome = Judge(call, result);
    }
    if (call.patience == kPatience) {
      ++share_.ended;
      share_.served += outcome == Outcome::kServed ? 1 : 0;
    }
  }
}

asio::awaitable<void> SoakCallers::Probe(SoakFleet::Host& host,
                                         uint64_t version) {
  ConnectionPool connections(loop_);
  HttpRequest request;
  request.method = "GET";
  request.target = VersionPath(version) + "probe";
  const std::string id = NextId();
  request.fields.Add("Host", "soak.example");
  request.fields.Add(names_.request_id, id);
  request.fields.Add(names_.deadline_ms, std::to_string(kPatience.ms()));
  const Instant sent_at = SteadyNow();
  const int life = host.life;
  const uint64_t seen = host.seen_version;
  const bool old = version < fleet_.version();
  const Instant changed_at = fleet_.version_at();
  ledger_.OnSent(id, "lookup", true, host.id.str(),
                 DigestOf(request.method, request.target, {}), sent_at);
  ExchangeOptions options;
  options.deadline = sent_at + kPatience;
  const ExchangeResult result = co_await connections.Exchange(
      host.callers, std::move(request), std::move(options));
  if (life != host.life || result.end != AttemptEnd::kAnswered)
    co_return;
  const int status = result.response.status;
  if (status == 200)
    host.seen_version = std::max(host.seen_version, version);
  // The host must use the newest version if it had time to apply it without a
  // fault, or if it has used that version already.
  const bool settled = sent_at - changed_at > SoakFleet::kConfigApply &&
                       fleet_.times().CalmSince(host.id.str(), sent_at) &&
                       fleet_.times().CalmSince(FaultTimes::kStore, sent_at);
  const bool shown =
      !old && seen >= version && sent_at - changed_at > kDowngradeSlack;
  if (fleet_.version() != version && !old)
    co_return;
  if (!old && status == 404 && (settled || shown)) {
    ledger_.Report(
        InvariantViolation::kOldConfig,
        fmt::format("{} does not know version {} after {} ms", host.id.str(),
                    version, (sent_at - changed_at).ms()));
  }
  if (old && status == 200 && (settled || seen > version) &&
      sent_at - changed_at > kDowngradeSlack) {
    ledger_.Report(
        InvariantViolation::kOldConfig,
        fmt::format("{} still serves version {} after {} ms", host.id.str(),
                    version, (sent_at - changed_at).ms()));
  }
}

asio::awaitable<void> SoakCallers::ProbeConfig(const bool& stop) {
  uint64_t before = 0;
  uint64_t newest = fleet_.version();
  while (!stop) {
    co_await SleepFor(kProbeEvery);
    if (fleet_.version() != newest)
      before = std::exchange(newest, fleet_.version());
    for (SoakFleet::Host& it : fleet_.hosts()) {
      if (!it.process->running() || it.to_end)
        continue;
      asio::co_spawn(loop_, Probe(it, newest), asio::detached);
      if (before != 0)
        asio::co_spawn(loop_, Probe(it, before), asio::detached);
    }
  }
}

}  // namespace toucanknot::soak
