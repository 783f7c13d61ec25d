#ifndef INCLUDE_ONCE_TICKET_TABLE_H_
#define INCLUDE_ONCE_TICKET_TABLE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/verdict.h"
#include "include/once/run_records.h"
#include "include/once/ticket.h"
#include "include/once/ticket_issuer.h"

namespace toucanknot {

// What to do with a request or a peer's query that carries a ticket.
enum class TicketStep {
  // Run it: it is admitted under `run`.
  kStart,
  // It is running: wait for its RunEnd.
  kJoin,
  // It ran: deliver `response`.
  kDeliverResponse,
  // It ran, but its response is no longer cached.
  kResponseGone,
  // It did not run and never will.
  kNotRun,
  // It may have run.
  kUnknown,
  // The ticket was used by a request with another fingerprint, which continues.
  // This one is not run.
  kMismatch,
  // Not a ticket, or a truncated one.
  kMalformed,
  // It names this incarnation of this host, which never issued it.
  kForged,
  // It belongs to `ticket.owner`, another host or another incarnation of this
  // one: see OwnerQuery.
  kNotMine,
};

inline constexpr EnumNames<TicketStep, 10> kTicketStepNames{
    {"start", "join", "answer", "answer-gone", "not-run", "unknown", "mismatch",
     "malformed", "forged", "not-mine"}};

// The reason, for logs and for the body of a rejection.
enum class TicketReason {
  kNone,
  kVoided,
  kExpired,
  kForgotten,
  kBroken,
  // The records are full.
  kTableFull,
  // The owner is shutting down.
  kClosed,
};

inline constexpr EnumNames<TicketReason, 7> kTicketReasonNames{
    {"none", "voided", "expired", "forgotten", "broken", "table-full",
     "closed"}};

struct TicketReply {
  TicketStep step = TicketStep::kUnknown;
  // The verdict for the caller when `step` ends the request here.
  Verdict verdict = Verdict::kUnknown;
  TicketReason reason = TicketReason::kNone;
  // The ticket's sequence number; identifies the run in RunRecords.
  uint64_t run = 0;
  CachedResponsePtr response;
  // The parsed ticket; absent for kMalformed.
  std::optional<Ticket> ticket;
};

// The records that an owner hands to its successors when it stops gracefully;
// see WitnessTable::TakeOver(). Runs that it does not list never ran.
struct TicketHandoff {
  HostIncarnation owner;
  // Records of runs up to this number may have been dropped.
  uint64_t forgotten_mark = 0;
  std::vector<RunRecords::Finished> finished;

  bool operator==(const TicketHandoff&) const = default;
};

// An owner's records of the requests that use its tickets. At most one request
// runs under a ticket, and only at this host. Copies share the issuer. Not
// thread-safe.
class TicketTable {
 public:
  TicketTable(std::unique_ptr<TicketIssuer> issuer,
              RunRecords::Limits limits,
              std::shared_ptr<ResponseCache> cache);

  // Issues a new ticket.
  Ticket Issue(Duration lifetime,
               Instant now,
               std::optional<HostIncarnation> witness = std::nullopt);

  // A request with the `Idempotency-Key` `text` arrived from a caller. `waiter`
  // is listed in the RunEnd when `step` is kStart or kJoin.
  TicketReply Begin(std::string_view text,
                    uint64_t fingerprint,
                    uint64_t waiter,
                    Instant now);

  // Another host queries for a caller that repeats the request there. Voids an
  // unused ticket, so that kNotRun stays true. With kJoin, `waiter` is listed
  // in the RunEnd.
  TicketReply Query(std::string_view text,
                    uint64_t fingerprint,
                    uint64_t waiter,
                    Instant now);

  // Ends a run that was admitted and not handed over: queue full, deadline
  // passed, witness unreachable. Call it before the rejection is sent.
  RunEnd Void(const Ticket& ticket, Instant now);

  // Stops accepting unused tickets and returns the records to hand over. For a
  // graceful shutdown, after the last run has ended; a run that has not ended
  // is handed over as one that may run.
  TicketHandoff Close();

  // The runs from Begin() to their end.
  RunRecords& runs() { return runs_; }
  const RunRecords& runs() const { return runs_; }
  const HostIncarnation& self() const { return issuer_->self(); }

 private:
  TicketReply Lookup(std::string_view text,
                     uint64_t fingerprint,
                     Instant now) const;
  TicketReply VoidUnused(TicketReply reply, Instant now);

  std::shared_ptr<TicketIssuer> issuer_;
  RunRecords runs_;
  bool closed_ = false;
};

// The reply for a run as shown by `view`: one that has a record, or that must
// not be started. `reply` holds the fields that do not depend on it.
TicketReply ReplyFromView(const RunView& view,
                          uint64_t fingerprint,
                          TicketReply reply);

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_TICKET_TABLE_H_
