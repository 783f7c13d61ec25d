#include "soak/invariant_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace toucanknot::soak {
namespace {

// How many requests of a run may reach a server after their callers have
// disconnected.
constexpr size_t kMaxSentAfterDisconnect = 3;

// No request takes longer, counted from a run of it.
constexpr Duration kLongestRequest{3'000};

// Number of times in [from, to). `times` is sorted.
int CountBetween(const std::vector<Instant>& times, Instant from, Instant to) {
  const auto first = std::lower_bound(times.begin(), times.end(), from);
  const auto last = std::lower_bound(times.begin(), times.end(), to);
  return static_cast<int>(std::distance(first, last));
}

}  // namespace

void InvariantChecker::Report(InvariantViolation violation,
                              const std::string& what,
                              const std::string& id) {
  ++violation_counts_[violation];
  if (!id.empty())
    violating_requests_.insert(id);
  violations_.push_back(
      fmt::format("{}: {}", kInvariantViolationNames.Name(violation), what));
}

void InvariantChecker::OnSent(const std::string& id,
                              const std::string& service,
                              bool idempotent,
                              const std::string& host,
                              uint64_t digest,
                              Instant now) {
  ++counts_.sent;
  Request& request = requests_[id];
  request.service = service;
  request.idempotent = idempotent;
  request.host = host;
  request.digest = digest;
  request.sent_at = now;
  request.events.push_back({"sent", host, now});
  services_[service].sent.push_back(now);
}

void InvariantChecker::OnArrived(const std::string& id,
                                 const std::string& server,
                                 Instant now) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  it->second.events.push_back({"arrived", server, now});
  if (++it->second.arrivals > 1)
    services_[it->second.service].retries.push_back(now);
}

void InvariantChecker::OnRun(const std::string& id,
                             uint64_t digest,
                             const std::string& server,
                             Instant now) {
  ++counts_.runs;
  const auto it = requests_.find(id);
  if (it == requests_.end()) {
    Report(InvariantViolation::kUnknownRequest,
           id + " was not sent by any caller", id);
    return;
  }
  Request& request = it->second;
  request.events.push_back({"ran", server, now});
  if (request.digest != digest)
    Report(InvariantViolation::kUnknownRequest,
           id + " differs from what the caller sent", id);
  if (++request.runs > 1 && !request.idempotent)
    Report(InvariantViolation::kRanTwice, id + ", sent to " + request.host, id);
  if (request.rejected && !request.idempotent)
    Report(InvariantViolation::kRejectedButRan,
           id + " ran after it was rejected", id);
}

void InvariantChecker::OnRejectedByServer(const std::string& id,
                                          const std::string& server,
                                          Instant now) {
  AddEvent(id, {"rejected by server", server, now});
}

void InvariantChecker::OnBrokenOff(const std::string& id,
                                   const std::string& server,
                                   Instant now) {
  AddEvent(id, {"broken off", server, now});
}

void InvariantChecker::AddEvent(const std::string& id, Event event) {
  const auto it = requests_.find(id);
  if (it != requests_.end())
    it->second.events.push_back(std::move(event));
}

void InvariantChecker::OnLateBody(const std::string& id, uint64_t digest) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.digest != digest) {
    Report(InvariantViolation::kUnknownRequest,
           id + " has other bytes where the rest of its body is due", id);
  }
}

void InvariantChecker::OnServerLost(const std::string& server, Instant now) {
  lost_[server].push_back(now);
}

void InvariantChecker::OnResponse(const std::string& id,
                                  int status,
                                  Instant now) {
  Request& request = requests_[id];
  request.events.push_back({std::to_string(status), request.host, now});
}

std::vector<InvariantChecker::Event> InvariantChecker::EventsOf(
    const std::string& id) const {
  const auto it = requests_.find(id);
  return it == requests_.end() ? std::vector<Event>() : it->second.events;
}

void InvariantChecker::OnRejected(const std::string& id, Instant now) {
  ++counts_.rejected;
  Request& request = requests_[id];
  request.events.push_back({"rejected", request.host, now});
  request.rejected = true;
  if (request.runs > 0 && !request.idempotent)
    Report(InvariantViolation::kRejectedButRan,
           id + ", sent to " + request.host, id);
}

void InvariantChecker::OnDisconnected(const std::string& id, Instant now) {
  requests_[id].disconnected_at = now;
}

void InvariantChecker::OnSentAfterDisconnect(const std::string& id,
                                             Duration late) {
  sent_after_disconnect_.push_back(
      fmt::format("{} after {} ms", id, late.ms()));
}

std::optional<Instant> InvariantChecker::DisconnectedAt(
    const std::string& id) const {
  const auto it = requests_.find(id);
  return it == requests_.end() ? std::nullopt : it->second.disconnected_at;
}

bool InvariantChecker::HasArrived(const std::string& id) const {
  const auto it = requests_.find(id);
  return it != requests_.end() && it->second.arrivals > 0;
}

std::string InvariantChecker::HostOf(const std::string& id) const {
  const auto it = requests_.find(id);
  return it == requests_.end() ? "" : it->second.host;
}

void InvariantChecker::Finish() {
  if (sent_after_disconnect_.size() > kMaxSentAfterDisconnect) {
    Report(InvariantViolation::kSentAfterDisconnect,
           fmt::format("{}", fmt::join(sent_after_disconnect_, ", ")));
  }
  CheckAttempts();
  for (const auto& [name, service] : services_)
    CheckBudget(name, service);
}

bool InvariantChecker::LostAfter(const std::string& server,
                                 Instant run_at) const {
  const auto lost = lost_.find(server);
  return lost != lost_.end() &&
         CountBetween(lost->second, run_at, run_at + kLongestRequest) > 0;
}

void InvariantChecker::CheckAttempts() {
  std::vector<std::string> over;
  for (const auto& [id, request] : requests_) {
    std::set<std::string> servers;
    for (const Event& it : request.events) {
      if (it.what == "ran" && !LostAfter(it.place, it.time))
        servers.insert(it.place);
    }
    if (std::ssize(servers) > (request.idempotent ? kAttempts : 1))
      over.push_back(id);
  }
  if (over.size() <= kMaxOverAttempts)
    return;
  for (const std::string& id : over)
    Report(InvariantViolation::kTooManyAttempts, id, id);
}

void InvariantChecker::CheckBudget(const std::string& name,
                                   const Service& service) {
  for (size_t i = 0; i < service.retries.size(); ++i) {
    const Instant from = service.retries[i];
    const Instant to = from + budget_.window;
    const int retries = CountBetween(service.retries, from, to);
    const Duration window = budget_.window;
    // A retry may come some time after its request was counted, so the window
    // before and the one in between count too if they had more requests.
    const int sent = std::max(
        {CountBetween(service.sent, from, to),
         CountBetween(service.sent, from - window, to - window),
         CountBetween(service.sent, from - window / 2, to - window / 2)});
    const double max_retries = sent * budget_.ratio + budget_.slack;
    if (retries <= max_retries)
      continue;
    Report(InvariantViolation::kOverBudget,
           fmt::format(
               "{} received {} retries in one window, {} requests allow {}",
               name, retries, sent, max_retries));
    return;
  }
}

}  // namespace toucanknot::soak
