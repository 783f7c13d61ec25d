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

// What a host that does not own the ticket does next for a repeated request.
enum class OwnerQueryStep {
  // Send TicketTable::Query() to `target`, the owner.
  kQueryOwner,
  // Send WitnessTable::Query() to `target`.
  kQueryWitness,
  // Reply to the caller.
  kReply,
};

inline constexpr EnumNames<OwnerQueryStep, 3> kOwnerQueryStepNames{
    {"ask-owner", "ask-witness", "answer"}};

struct OwnerQueryAction {
  OwnerQueryStep step = OwnerQueryStep::kReply;
  HostIncarnation target;
  // How long to wait for the reply; then call OnSilence().
  Instant until;
  // For kReply: the reply to the caller. Never kStart: only the owner runs a
  // request under the ticket.
  TicketReply reply;
};

// Finds out what became of a request under a ticket of another host, or of an
// earlier incarnation of this one, without ever running the request. Queries
// the owner first; when the owner is silent, gone or in another incarnation,
// the witness and then the hosts that took over the records of the owner. When
// none of them knows, the verdict is unknown.
class OwnerQuery {
 public:
  struct Options {
    // How long to wait for one reply while the request is not known to be
    // running.
    Duration reply_timeout{2'000};
    // Hosts that may have taken over the owner's records: this one, and others
    // that were up when the owner stopped. A host that hasn't replies kUnknown.
    std::vector<HostIncarnation> successors;
    // The owner's current incarnation according to membership, if known.
    std::optional<Incarnation> known_incarnation;
  };

  // `deadline` is the caller's.
  OwnerQuery(const Ticket& ticket, Options options, Instant deadline);

  // The first action.
  OwnerQueryAction Start(Instant now);
  // Handles the owner's reply. On kJoin it waits, up to the deadline, for
  // another reply with the outcome. kNotMine means that the owner is in another
  // incarnation.
  OwnerQueryAction OnOwnerReply(const TicketReply& reply, Instant now);
  OwnerQueryAction OnWitnessReply(WitnessReply reply, Instant now);
  // No reply came in time, the connection broke, or none could be opened.
  OwnerQueryAction OnSilence(Instant now);

 private:
  OwnerQueryAction QueryNextWitness(Instant now);
  OwnerQueryAction Reply(TicketStep step, Verdict verdict) const;
  Instant ReplyDeadline(Instant now) const;

  Ticket ticket_;
  Options options_;
  Instant deadline_;
  std::vector<HostIncarnation> witnesses_;
  size_t next_witness_ = 0;
  bool owner_runs_it_ = false;
};

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_OWNER_QUERY_H_
