#ifndef INCLUDE_ONCE_OWNER_QUERY_H_
#define INCLUDE_ONCE_OWNER_QUERY_H_

#include <optional>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/ids.h"
#include "include/base/verdict.h"
#include "include/once/ticket.h"
#include "include/once/ticket_table.h"
#include "include/once/witness_table.h"

namespace toucanknot {

// What a host that is not the owner does next for a repeated request.
enum class OwnerQueryStep {
  // Send TicketTable::Ask() to `target`, the owner.
  kAskOwner,
  // Send WitnessTable::Ask() to `target`.
  kAskWitness,
  // Tell the caller.
  kAnswer,
};

inline constexpr EnumNames<OwnerQueryStep, 3> kOwnerQueryStepNames{
    {"ask-owner", "ask-witness", "answer"}};

struct OwnerQueryAction {
  OwnerQueryStep step = OwnerQueryStep::kAnswer;
  HostIncarnation target;
  // Until when to wait for the reply; then call OnSilence().
  Instant until;
  // For kAnswer: what to tell the caller. Never kStart: a host that is not the
  // owner runs nothing under the ticket.
  TicketReply reply;
};

// Finds the truth about a ticket of another host, or of an earlier life of this
// one, and never runs the request. Asks the owner; when the owner is silent,
// gone or in another life, the witness and the hosts that took over the
// owner's records; when none knows, the verdict is unknown.
class OwnerQuery {
 public:
  struct Options {
    // How long one question may take while nothing is known to run.
    Duration patience{2'000};
    // Hosts that may have taken over the owner's records: this one, and others
    // that were up when the owner stopped. One that has not says kUnknown.
    std::vector<HostIncarnation> successors;
    // The owner's life as membership shows it, if it does.
    std::optional<Incarnation> known_incarnation;
  };

  // `deadline` is the caller's.
  OwnerQuery(const Ticket& ticket, Options options, Instant deadline);

  // The first action.
  OwnerQueryAction Start(Instant now);
  // The owner's reply: kJoin makes it wait on, up to the deadline, for the
  // outcome that the owner sends as another reply. kNotMine: the owner is in
  // another life.
  OwnerQueryAction OnOwnerReply(const TicketReply& reply, Instant now);
  OwnerQueryAction OnWitnessReply(WitnessReply word, Instant now);
  // The time is up, the connection broke, or none could be had.
  OwnerQueryAction OnSilence(Instant now);

 private:
  OwnerQueryAction NextWitness(Instant now);
  OwnerQueryAction Tell(TicketStep step, Verdict verdict) const;
  Instant Limit(Instant now) const;

  Ticket ticket_;
  Options options_;
  Instant deadline_;
  std::vector<HostIncarnation> witnesses_;
  size_t next_witness_ = 0;
  bool owner_runs_it_ = false;
};

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_OWNER_QUERY_H_
