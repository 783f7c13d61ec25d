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

constexpr Duration kLookUpInterval{1'000};
constexpr Duration kLookUpTimeout{1'000};
constexpr int kMaxLookUpAttempts = 3;
// Mean pause between the requests of one caller; uniform in 0.5 to 1.5 times.
constexpr int64_t kMeanThinkTimeMs = 60;
// How long callers wait for a response: longer than the route's timeout, so
// that the host ends the request first. One in thirty disconnects early.
constexpr Duration kCallerTimeout{2'500};
constexpr Duration kEarlyDisconnectAfter{80};
constexpr int kEarlyDisconnectOneIn = 30;
constexpr int kNewConnectionOneIn = 4;
constexpr int64_t kObjectCount = 60;
constexpr size_t kRequestBodyBytes = 1'200;
constexpr Duration kProbeInterval{250};
// Responses by the previous version are allowed for this long after a change,
// because they may have been in flight.
constexpr Duration kVersionOverlap{250};
// A request that fails within this time after the grace period counts as cut
// off by the planned stop.
constexpr Duration kCutOffSlack{1'000};
// A host may close a connection for so long after the last byte of a request
// that it hasn't passed on.
constexpr Duration kLossSlack{200};

bool GuaranteesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

}  // namespace

SoakCallers::SoakCallers(asio::io_context& loop,
                         SoakFleet& fleet,
                         const EntryWire& names,
                         InvariantChecker& checker,
                         uint64_t seed)
    : loop_(loop),
      fleet_(fleet),
      names_(names),
      checker_(checker),
      random_(seed) {}

std::string SoakCallers::NextId() {
  return fmt::format("{:016x}", (random_() << 20) + ++next_id_);
}

asio::awaitable<void> SoakCallers::LookUp(Caller& caller) {
  if (!caller.addresses.empty() &&
      SteadyNow() - caller.looked_up_at < kLookUpInterval) {
    co_return;
  }
  for (int i = 0; i < kMaxLookUpAttempts; ++i) {
    const auto host = static_cast<size_t>(
        Draw(0, static_cast<int64_t>(fleet_.hosts().size()) - 1));
    HttpRequest request;
    request.method = "GET";
    request.target =
        names_.lookup_path + "?" + names_.lookup_region + "=" + caller.region;
    request.fields.Add("Host", "directory");
    ExchangeOptions options;
    options.deadline = SteadyNow() + kLookUpTimeout;
    const ExchangeResult result = co_await caller.connections.Exchange(
        fleet_.hosts()[host].directory_endpoint, std::move(request),
        std::move(options));
    if (result.end != AttemptEnd::kAnswered || result.response.status != 200)
      continue;
    const boost::json::value listing = boost::json::parse(result.response.body);
    caller.addresses.clear();
    for (const auto& it : listing.as_object().begin()->value().as_array()) {
      if (auto address = Endpoint::Parse(std::string(it.as_string())))
        caller.addresses.push_back(*address);
    }
    caller.looked_up_at = SteadyNow();
    co_return;
  }
}

asio::awaitable<ExchangeResult> SoakCallers::Send(Caller& caller,
                                                  Request& request) {
  const auto index = static_cast<size_t>(
      Draw(0, static_cast<int64_t>(caller.addresses.size()) - 1));
  SoakFleet::Host* host = fleet_.FindHost(caller.addresses[index]);
  if (host == nullptr) {
    checker_.Report(
        InvariantViolation::kWrongResponse,
        "the directory returned an address that no host listens on");
    co_return ExchangeResult{};
  }
  request.id = NextId();
  request.host = host->id.str();
  request.sent_at = SteadyNow();
  HttpRequest http_request;
  http_request.method = request.idempotent ? "GET" : "POST";
  http_request.target = request.path;
  http_request.body = request.body;
  http_request.fields.Add("Host", "soak.example");
  http_request.fields.Add(names_.request_id, request.id);
  http_request.fields.Add(names_.object, std::to_string(Draw(1, kObjectCount)));
  http_request.fields.Add(names_.deadline_ms,
                          std::to_string(request.timeout.ms()));
  checker_.OnSent(request.id, request.idempotent ? "lookup" : "confirm",
                  request.idempotent, request.host,
                  RequestDigest(http_request.method, http_request.target,
                                http_request.body),
                  request.sent_at);
  ExchangeOptions options;
  options.deadline = request.sent_at + request.timeout;
  options.new_connection = Draw(1, kNewConnectionOneIn) == 1;
  // Longer than any request: the hosts must handle a silent link, not the
  // callers.
  options.silent_after = Duration(60'000);
  co_return co_await caller.connections.Exchange(host->caller_link->endpoint(),
                                                 std::move(http_request),
                                                 std::move(options));
}

void SoakCallers::VerifyResponse(const Request& request,
                                 const HttpResponse& response) {
  const std::string_view stamp = response.fields.Get(names_.stamp);
  const std::string server(stamp.substr(0, stamp.find('.')));
  if (stamp == ResponseStamp(server, response.body) &&
      response.body.starts_with(request.id + "\n") &&
      response.fields.Get(names_.request_id) == request.id) {
    return;
  }
  checker_.Report(
      InvariantViolation::kWrongResponse,
      fmt::format("{} got a wrong response from {}", request.id, request.host),
      request.id);
}

SoakCallers::Outcome SoakCallers::Classify(const Request& request,
                                           const ExchangeResult& result) {
  checker_.OnResponse(
      request.id,
      result.end == AttemptEnd::kAnswered ? result.response.status : 0,
      SteadyNow());
  const bool responded = result.end == AttemptEnd::kAnswered;
  const int status = result.response.status;
  if (responded && status < 300) {
    VerifyResponse(request, result.response);
    return Outcome::kServed;
  }
  if (responded && GuaranteesNotRun(status)) {
    checker_.OnRejected(request.id, SteadyNow());
    return Outcome::kRejected;
  }
  if (responded && status < 500) {
    checker_.Report(InvariantViolation::kStaleConfig,
                    fmt::format("{} was rejected by {} with status {}",
                                request.id, request.host, status),
                    request.id);
  }
  if (result.end == AttemptEnd::kTimedOut)
    checker_.OnDisconnected(request.id, SteadyNow());
  if (responded || result.end == AttemptEnd::kTimedOut)
    return Outcome::kFailed;
  const auto& hosts = fleet_.hosts();
  const auto host = std::find_if(
      hosts.begin(), hosts.end(),
      [&](const SoakFleet::Host& it) { return it.id.str() == request.host; });
  const Instant now = SteadyNow();
  fleet_.ReadLedgers();
  const bool stopping =
      host->stopped_at &&
      now - *host->stopped_at < SoakFleet::kGracePeriod + kCutOffSlack;
  const bool held =
      request.last_byte_at && now - *request.last_byte_at > kLossSlack;
  if (stopping && (held || checker_.HasArrived(request.id)) &&
      fleet_.fault_history().FaultFreeSince(FaultHistory::kUnplanned,
                                            request.sent_at) &&
      fleet_.fault_history().FaultFreeSince(FaultHistory::kStore,
                                            request.sent_at)) {
    checker_.Report(
        InvariantViolation::kCutOffByStop,
        fmt::format("{} was cut off by {} {} ms after its SIGTERM", request.id,
                    request.host, (now - *host->stopped_at).ms()),
        request.id);
  }
  return Outcome::kFailed;
}

asio::awaitable<void> SoakCallers::RunCaller(int number, const bool& stop) {
  Caller caller(loop_);
  caller.region = fmt::format("region-{}", number % 2);
  while (!stop) {
    co_await SleepFor(
        Duration(Draw(kMeanThinkTimeMs / 2, kMeanThinkTimeMs * 3 / 2)));
    co_await LookUp(caller);
    if (caller.addresses.empty())
      continue;
    Request request;
    request.idempotent = Draw(0, 2) > 0;
    request.path =
        fmt::format("/{}/{}", request.idempotent ? "lookup" : "confirm",
                    Draw(1, 1'000'000));
    if (!request.idempotent)
      request.body.assign(kRequestBodyBytes, static_cast<char>(Draw('a', 'z')));
    request.timeout = Draw(1, kEarlyDisconnectOneIn) == 1
                          ? kEarlyDisconnectAfter
                          : kCallerTimeout;
    ExchangeResult result = co_await Send(caller, request);
    Outcome outcome = Classify(request, result);
    const bool may_retry = outcome == Outcome::kRejected || request.idempotent;
    if (outcome != Outcome::kServed && may_retry &&
        request.timeout == kCallerTimeout) {
      const std::string wait(result.response.fields.Get("Retry-After"));
      const double seconds = wait.empty() ? 0 : std::stod(wait);
      co_await SleepFor(std::min(Duration(static_cast<int64_t>(seconds * 1e3)),
                                 kCallerTimeout / 3));
      result = co_await Send(caller, request);
      outcome = Classify(request, result);
    }
    if (request.timeout == kCallerTimeout) {
      ++served_counts_.ended;
      served_counts_.served += outcome == Outcome::kServed ? 1 : 0;
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
  request.fields.Add(names_.deadline_ms, std::to_string(kCallerTimeout.ms()));
  const Instant sent_at = SteadyNow();
  const int start_count = host.start_count;
  const uint64_t seen_before = host.seen_version;
  const bool is_old = version < fleet_.version();
  const Instant changed_at = fleet_.version_written_at();
  checker_.OnSent(id, "lookup", true, host.id.str(),
                  RequestDigest(request.method, request.target, {}), sent_at);
  ExchangeOptions options;
  options.deadline = sent_at + kCallerTimeout;
  const ExchangeResult result = co_await connections.Exchange(
      host.caller_endpoint, std::move(request), std::move(options));
  if (start_count != host.start_count || result.end != AttemptEnd::kAnswered)
    co_return;
  const int status = result.response.status;
  if (status == 200)
    host.seen_version = std::max(host.seen_version, version);
  // The host must use the newest version if it had time to apply it without a
  // fault, or if it has used that version already.
  const bool settled =
      sent_at - changed_at > SoakFleet::kConfigLimit &&
      fleet_.fault_history().FaultFreeSince(host.id.str(), sent_at) &&
      fleet_.fault_history().FaultFreeSince(FaultHistory::kStore, sent_at);
  const bool used_before = !is_old && seen_before >= version &&
                           sent_at - changed_at > kVersionOverlap;
  if (fleet_.version() != version && !is_old)
    co_return;
  if (!is_old && status == 404 && (settled || used_before)) {
    checker_.Report(
        InvariantViolation::kStaleConfig,
        fmt::format("{} does not know version {} after {} ms", host.id.str(),
                    version, (sent_at - changed_at).ms()));
  }
  if (is_old && status == 200 && (settled || seen_before > version) &&
      sent_at - changed_at > kVersionOverlap) {
    checker_.Report(
        InvariantViolation::kStaleConfig,
        fmt::format("{} still serves version {} after {} ms", host.id.str(),
                    version, (sent_at - changed_at).ms()));
  }
}

asio::awaitable<void> SoakCallers::ProbeConfig(const bool& stop) {
  uint64_t before = 0;
  uint64_t newest = fleet_.version();
  while (!stop) {
    co_await SleepFor(kProbeInterval);
    if (fleet_.version() != newest)
      before = std::exchange(newest, fleet_.version());
    for (SoakFleet::Host& it : fleet_.hosts()) {
      if (!it.process->running() || it.stop_requested)
        continue;
      asio::co_spawn(loop_, Probe(it, newest), asio::detached);
      if (before != 0)
        asio::co_spawn(loop_, Probe(it, before), asio::detached);
    }
  }
}

}  // namespace toucanknot::soak
