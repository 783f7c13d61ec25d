#include "src/daemon/shared_ticket_records.h"

#include <openssl/rand.h>

#include <utility>

#include "include/base/error.h"

namespace toucanknot {
namespace {

TicketKey DrawKey() {
  TicketKey key{};
  if (RAND_bytes(key.data(), static_cast<int>(key.size())) != 1)
    throw Error("no random bytes for the ticket key");
  return key;
}

RunRecords::Limits RecordLimits(const SharedTicketRecords::Limits& limits) {
  return {limits.keep_answer, limits.max_records};
}

}  // namespace

SharedTicketRecords::SharedTicketRecords(const HostIncarnation& self,
                                         Limits limits)
    : self_(self),
      answers_(std::make_shared<ResponseCache>(limits.kept_answers_bytes,
                                               limits.keep_answer)),
      tickets_(std::make_unique<TicketIssuer>(self, DrawKey(), SteadyNow()),
               RecordLimits(limits),
               answers_),
      passes_(RecordLimits(limits), answers_),
      taken_over_(self, WitnessTable::Limits()) {}

std::string SharedTicketRecords::Mint(Duration lifetime) {
  const std::lock_guard lock(mutex_);
  return tickets_.Issue(lifetime, SteadyNow()).ToString();
}

TicketReply SharedTicketRecords::Begin(std::string_view ticket,
                                       uint64_t fingerprint,
                                       const WaiterPtr& waiter) {
  const std::lock_guard lock(mutex_);
  const uint64_t id = next_waiter_++;
  TicketReply reply = tickets_.Begin(ticket, fingerprint, id, SteadyNow());
  if (reply.step == TicketStep::kJoin)
    waiters_[id] = waiter;
  return reply;
}

TicketReply SharedTicketRecords::Ask(std::string_view ticket,
                                     uint64_t fingerprint,
                                     const WaiterPtr& waiter) {
  const std::lock_guard lock(mutex_);
  const uint64_t id = next_waiter_++;
  TicketReply reply = tickets_.Query(ticket, fingerprint, id, SteadyNow());
  if (reply.step == TicketStep::kJoin)
    waiters_[id] = waiter;
  return reply;
}

TicketReply SharedTicketRecords::BeginForwarded(const ForwardedRunId& pass,
                                                uint64_t fingerprint,
                                                const WaiterPtr& waiter) {
  const std::lock_guard lock(mutex_);
  const uint64_t id = next_waiter_++;
  TicketReply reply = passes_.Begin(pass, fingerprint, id, SteadyNow());
  if (reply.step == TicketStep::kJoin)
    waiters_[id] = waiter;
  return reply;
}

RunEnd SharedTicketRecords::End(const Act& act) {
  const std::lock_guard lock(mutex_);
  return Wake(act(tickets_.runs(), SteadyNow()));
}

RunEnd SharedTicketRecords::EndForwarded(const HostIncarnation& owner,
                                         const Act& act) {
  const std::lock_guard lock(mutex_);
  return Wake(act(passes_.RunsOf(owner), SteadyNow()));
}

RunEnd SharedTicketRecords::VoidTicket(const Ticket& ticket) {
  const std::lock_guard lock(mutex_);
  return Wake(tickets_.Void(ticket, SteadyNow()));
}

RunEnd SharedTicketRecords::VoidForwarded(const ForwardedRunId& pass) {
  const std::lock_guard lock(mutex_);
  return Wake(passes_.Void(pass, SteadyNow()));
}

void SharedTicketRecords::With(
    const std::function<void(RunRecords& runs)>& act) {
  const std::lock_guard lock(mutex_);
  act(tickets_.runs());
}

void SharedTicketRecords::WithForwarded(
    const HostIncarnation& owner,
    const std::function<void(RunRecords& runs)>& act) {
  const std::lock_guard lock(mutex_);
  act(passes_.RunsOf(owner));
}

TicketHandoff SharedTicketRecords::Close() {
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

WitnessReply SharedTicketRecords::AskTakenOver(const Ticket& ticket) {
  const std::lock_guard lock(mutex_);
  return taken_over_.Query(ticket, SteadyNow());
}

void SharedTicketRecords::SetLimits(Limits limits) {
  const std::lock_guard lock(mutex_);
  const Instant now = SteadyNow();
  answers_->SetLimits(limits.kept_answers_bytes, limits.keep_answer, now);
  tickets_.runs().SetLimits(RecordLimits(limits), now);
}

void SharedTicketRecords::Expire() {
  const std::lock_guard lock(mutex_);
  const Instant now = SteadyNow();
  answers_->Expire(now);
  tickets_.runs().Expire(now);
  passes_.Expire(now);
  taken_over_.Expire(now);
}

size_t SharedTicketRecords::records() const {
  const std::lock_guard lock(mutex_);
  return tickets_.runs().size() + passes_.size();
}

int64_t SharedTicketRecords::kept_bytes() const {
  const std::lock_guard lock(mutex_);
  return answers_->bytes();
}

size_t SharedTicketRecords::unfinished() const {
  const std::lock_guard lock(mutex_);
  return tickets_.runs().unfinished();
}

RunEnd SharedTicketRecords::Wake(RunEnd end) {
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
  auto kept = std::make_shared<CachedResponse>();
  kept->status = response.status;
  for (const HttpField& it : response.fields.all())
    kept->head += it.name + ": " + it.value + "\r\n";
  kept->body = response.body;
  return kept;
}

HttpResponse FromCachedResponse(const CachedResponse& answer) {
  HttpResponse response;
  response.status = answer.status;
  response.body = answer.body;
  std::string_view head = answer.head;
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
