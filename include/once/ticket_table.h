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

// What to do with a request, or with a peer's question, that carries a ticket.
enum class TicketStep {
  // Run it: it is admitted under `run`.
  kStart,
  // It is running; wait for its RunEnd.
  kJoin,
  // It ran; deliver `answer`.
  kAnswer,
  // It ran; its answer is no longer kept.
  kAnswerGone,
  // It did not run and never will.
  kNotRun,
  // It may have run.
  kUnknown,
  // The ticket was used by a request with another fingerprint, which is left
  // alone. This one is not run.
  kMismatch,
  // No ticket at all, or one that was cut.
  kMalformed,
  // It names this life of this host, which never issued it.
  kForged,
  // It belongs to `ticket.owner`, another host or another life of this one:
  // see OwnerQuery.
  kNotMine,
};

inline constexpr EnumNames<TicketStep, 10> kTicketStepNames{
    {"start", "join", "answer", "answer-gone", "not-run", "unknown", "mismatch",
     "malformed", "forged", "not-mine"}};

// Why, for logs and for the body of a refusal.
enum class TicketReason {
  kNone,
  kVoided,
  kExpired,
  kForgotten,
  kBroken,
  // The records are full.
  kTableFull,
  // The owner stops.
  kClosed,
};

inline constexpr EnumNames<TicketReason, 7> kTicketReasonNames{
    {"none", "voided", "expired", "forgotten", "broken", "table-full",
     "closed"}};

struct TicketReply {
  TicketStep step = TicketStep::kUnknown;
  // What to tell the caller when `step` ends the request here.
  Verdict verdict = Verdict::kUnknown;
  TicketReason reason = TicketReason::kNone;
  // The ticket's sequence number; names the run in RunRecords.
  uint64_t run = 0;
  CachedResponsePtr answer;
  // As read; absent for kMalformed.
  std::optional<Ticket> ticket;
};

// What an owner that stops gracefully leaves to its successors; see
// WitnessTable::TakeOver(). Everything that it does not list never ran.
struct TicketHandoff {
  HostIncarnation owner;
  // Runs up to here may have been forgotten.
  uint64_t forgotten_mark = 0;
  std::vector<RunRecords::Finished> finished;

  bool operator==(const TicketHandoff&) const = default;
};

// An owner's record of the requests that use its tickets. At most one request
// runs under a ticket, at this host alone. Copies share the mint. Not
// thread-safe.
class TicketTable {
 public:
  TicketTable(std::unique_ptr<TicketIssuer> mint,
              RunRecords::Limits limits,
              std::shared_ptr<ResponseCache> answers);

  // A fresh ticket.
  Ticket Mint(Duration lifetime,
              Instant now,
              std::optional<HostIncarnation> witness = std::nullopt);

  // A request with the `Idempotency-Key` `text` arrived from a caller.
  // `waiter` names it in the RunEnd when `step` is kStart or kJoin.
  TicketReply Begin(std::string_view text,
                    uint64_t fingerprint,
                    uint64_t waiter,
                    Instant now);

  // Another host asks for a caller that repeats the request there. Voids an
  // unused ticket, so that kNotRun is true for good. With kJoin, `waiter` is
  // named in the RunEnd.
  TicketReply Ask(std::string_view text,
                  uint64_t fingerprint,
                  uint64_t waiter,
                  Instant now);

  // Gives up a run that was admitted and not handed over: queue full, deadline
  // passed, witness unreachable. Must precede the refusal.
  RunEnd Void(const Ticket& ticket, Instant now);

  // Lets no unused ticket be used any more, and returns what to leave behind.
  // For a graceful shutdown, after the last run has ended; a run that has not
  // is handed off as one that may run.
  TicketHandoff Close();

  // What happens to runs between Begin() and their end.
  RunRecords& runs() { return runs_; }
  const RunRecords& runs() const { return runs_; }
  const HostIncarnation& self() const { return mint_->self(); }

 private:
  TicketReply Look(std::string_view text,
                   uint64_t fingerprint,
                   Instant now) const;
  TicketReply VoidUnused(TicketReply reply, Instant now);

  std::shared_ptr<TicketIssuer> mint_;
  RunRecords runs_;
  bool closed_ = false;
};

// The reply that tells what `view` shows of a run that has a record, or that
// may not be started. `reply` carries the parts that do not depend on it.
TicketReply ReplyFromView(const RunView& view,
                          uint64_t fingerprint,
                          TicketReply reply);

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_TICKET_TABLE_H_
