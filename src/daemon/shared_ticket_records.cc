#include "src/daemon/shared_ticket_records.h"

#include <openssl/rand.h>

#include <utility>

#include "include/base/error.h"

namespace toucanknot {
namespace {

TicketKey GenerateTicketKey() {
  TicketKey key{};
  if (RAND_bytes(key.data(), static_cast<int>(key.size())) != 1)
    throw Error("cannot generate a random ticket key");
  return key;
}

RunRecords::Limits RecordLimits(const SharedTicketRecords::Limits& limits) {
  return {limits.response_lifetime, limits.max_records};
}

}  // namespace

SharedTicketRecords::SharedTicketRecords(const HostIncarnation& self,
                                         Limits limits)
    : self_(self),
      response_cache_(
          std::make_shared<ResponseCache>(limits.max_cached_bytes,
                                          limits.response_lifetime)),
      tickets_(std::make_unique<TicketIssuer>(self,
                                              GenerateTicketKey(),
                                              SteadyNow()),
               RecordLimits(limits),
               response_cache_),
      forwarded_runs_(RecordLimits(limits), response_cache_),
      taken_over_(self, WitnessTable::Limits()) {}

std::string SharedTicketRecords::IssueTicket(Duration lifetime) {
  const std::lock_guard lock(mutex_);
  return tickets_.Issue(lifetime, SteadyNow()).ToString();
}

TicketReply SharedTicketRecords::BeginRun(std::string_view ticket,
                                          uint64_t fingerprint,
                                          const WaiterPtr& waiter) {
  const std::lock_guard lock(mutex_);
  const uint64_t id = next_waiter_++;
  TicketReply reply = tickets_.Begin(ticket, fingerprint, id, SteadyNow());
  if (reply.step == TicketStep::kJoin)
    waiters_[id] = waiter;
  return reply;
}

TicketReply SharedTicketRecords::QueryTicket(std::string_view ticket,
                                             uint64_t fingerprint,
                                             const WaiterPtr& waiter) {
  const std::lock_guard lock(mutex_);
  const uint64_t id = next_waiter_++;
  TicketReply reply = tickets_.Query(ticket, fingerprint, id, SteadyNow());
  if (reply.step == TicketStep::kJoin)
    waiters_[id] = waiter;
  return reply;
}

TicketReply SharedTicketRecords::BeginForwarded(const ForwardedRunId& run_id,
                                                uint64_t fingerprint,
                                                const WaiterPtr& waiter) {
  const std::lock_guard lock(mutex_);
  const uint64_t id = next_waiter_++;
  TicketReply reply =
      forwarded_runs_.Begin(run_id, fingerprint, id, SteadyNow());
  if (reply.step == TicketStep::kJoin)
    waiters_[id] = waiter;
  return reply;
}

RunEnd SharedTicketRecords::EndRun(const EndFn& fn) {
  const std::lock_guard lock(mutex_);
  return WakeWaiters(fn(tickets_.runs(), SteadyNow()));
}

RunEnd SharedTicketRecords::EndForwarded(const HostIncarnation& owner,
                                         const EndFn& fn) {
  const std::lock_guard lock(mutex_);
  return WakeWaiters(fn(forwarded_runs_.RunsOf(owner), SteadyNow()));
}

RunEnd SharedTicketRecords::VoidTicket(const Ticket& ticket) {
  const std::lock_guard lock(mutex_);
  return WakeWaiters(tickets_.Void(ticket, SteadyNow()));
}

RunEnd SharedTicketRecords::VoidForwarded(const ForwardedRunId& run_id) {
  const std::lock_guard lock(mutex_);
  return WakeWaiters(forwarded_runs_.Void(run_id, SteadyNow()));
}

void SharedTicketRecords::WithRecords(
    const std::function<void(RunRecords& runs)>& fn) {
  const std::lock_guard lock(mutex_);
  fn(tickets_.runs());
}

void SharedTicketRecords::WithForwarded(
    const HostIncarnation& owner,
    const std::function<void(RunRecords& runs)>& fn) {
  const std::lock_guard lock(mutex_);
  fn(forwarded_runs_.RunsOf(owner));
}

TicketHandoff SharedTicketRecords::CloseForHandoff() {
  const std::lock_guard lock(mutex_);
  return tickets_.Close();
}

void SharedTicketRecords::TakeOver(const TicketHandoff& handoff) {
  const std::lock_guard lock(mutex_);
  taken_over_.TakeOver(handoff, SteadyNow());
}

bool SharedTicketRecords::HasTakenOver(const HostIncarnation& owner) const {
  const std::lock_guard lock(mutex_);
  return taken_over_.HasTakenOver(owner);
}

WitnessReply SharedTicketRecords::QueryTakenOver(const Ticket& ticket) {
  const std::lock_guard lock(mutex_);
  return taken_over_.Query(ticket, SteadyNow());
}

void SharedTicketRecords::SetLimits(Limits limits) {
  const std::lock_guard lock(mutex_);
  const Instant now = SteadyNow();
  response_cache_->SetLimits(limits.max_cached_bytes, limits.response_lifetime,
                             now);
  tickets_.runs().SetLimits(RecordLimits(limits), now);
}

void SharedTicketRecords::Expire() {
  const std::lock_guard lock(mutex_);
  const Instant now = SteadyNow();
  response_cache_->Expire(now);
  tickets_.runs().Expire(now);
  forwarded_runs_.Expire(now);
  taken_over_.Expire(now);
}

size_t SharedTicketRecords::records() const {
  const std::lock_guard lock(mutex_);
  return tickets_.runs().size() + forwarded_runs_.size();
}

int64_t SharedTicketRecords::cached_bytes() const {
  const std::lock_guard lock(mutex_);
  return response_cache_->bytes();
}

size_t SharedTicketRecords::unfinished() const {
  const std::lock_guard lock(mutex_);
  return tickets_.runs().unfinished();
}

RunEnd SharedTicketRecords::WakeWaiters(RunEnd end) {
  for (const uint64_t id : end.waiters) {
    const auto it = waiters_.find(id);
    if (it == waiters_.end())
      continue;
    it->second->Set(end);
    waiters_.erase(it);
  }
  return end;
}

CachedResponsePtr ToCachedResponse(const HttpResponse& response) {
  auto cached = std::make_shared<CachedResponse>();
  cached->status = response.status;
  for (const HttpField& it : response.fields.all())
    cached->head += it.name + ": " + it.value + "\r\n";
  cached->body = response.body;
  return cached;
}

HttpResponse FromCachedResponse(const CachedResponse& cached) {
  HttpResponse response;
  response.status = cached.status;
  response.body = cached.body;
  std::string_view head = cached.head;
  while (!head.empty()) {
    const size_t colon = head.find(": ");
    const size_t end = head.find("\r\n");
    response.fields.Add(std::string(head.substr(0, colon)),
                        std::string(head.substr(colon + 2, end - colon - 2)));
    head.remove_prefix(end + 2);
  }
  return response;
}

}  // namespace toucanknot
