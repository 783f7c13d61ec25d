#ifndef INCLUDE_ONCE_WITNESS_TABLE_H_
#define INCLUDE_ONCE_WITNESS_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/verdict.h"
#include "include/once/ticket.h"
#include "include/once/ticket_table.h"

namespace toucanknot {

// The reply of a witness about a ticket.
enum class WitnessReply {
  // The owner may hand the request over.
  kGranted,
  // No host may; it did not run and never will.
  kVoided,
  // The owner was allowed to hand the request over: it may have run.
  kClaimed,
  // The owner reported that it ran.
  kRan,
  // The witness no longer knows, or was never the witness of this ticket.
  kUnknown,
};

inline constexpr EnumNames<WitnessReply, 5> kWitnessReplyNames{
    {"granted", "voided", "claimed", "ran", "unknown"}};

// A second record of tickets, in memory, at a host in another zone than the
// owner. A ticket names its witness when issued, as one incarnation of that
// host. Whichever comes first, Claim() by the owner or Query() by any other
// host, decides: claimed or void. So a third host learns the outcome even when
// the owner is dead, restarted or cut off. When the witness died or was
// restarted, the outcome stays unknown. Not thread-safe.
class WitnessTable {
 public:
  struct Limits {
    // How long a record is kept after its last change.
    Duration keep{420'000};
    // How long after the last message about an incarnation of an owner all its
    // records are dropped.
    Duration keep_owner{86'400'000};
    // The most records of one incarnation of an owner.
    size_t max_records = 100'000;
  };

  WitnessTable(HostIncarnation self, Limits limits);

  // The owner is about to hand the request over. Returns kGranted or kVoided; a
  // repeat of a granted claim is granted again.
  WitnessReply Claim(const Ticket& ticket, Instant now);
  // The owner reports the outcome: ran, or not run (which voids the ticket).
  // kUnknown changes nothing.
  void RecordOutcome(const Ticket& ticket, Verdict verdict, Instant now);
  // A host that could not reach the owner queries. Voids an unclaimed ticket.
  WitnessReply Query(const Ticket& ticket, Instant now);

  // Takes over the records of an owner that stops gracefully: the runs that ran
  // or may have run, and how far back its records go. Everything else is void.
  // This includes tickets of `owner` with no witness or another one.
  void TakeOver(const TicketHandoff& handoff, Instant now);
  // Whether TakeOver() was called for `owner`.
  bool HasTakenOver(const HostIncarnation& owner) const;

  // Drops expired records.
  void Expire(Instant now);
  size_t size() const;

 private:
  struct Entry {
    WitnessReply reply = WitnessReply::kUnknown;
    Instant forget_at;
  };
  struct OwnerEntry {
    std::map<uint64_t, Entry> tickets;
    // Tickets up to here without an entry may have been claimed.
    uint64_t forgotten_mark = 0;
    // The owner has stopped: nothing can be claimed any more.
    bool closed = false;
    Instant forget_at;
  };

  // The entry of `owner`, created if needed; null when it was dropped.
  OwnerEntry* FindOrCreateOwner(const HostIncarnation& owner, Instant now);
  void SetReply(OwnerEntry& owner,
                uint64_t sequence,
                WitnessReply reply,
                Instant now);

  HostIncarnation self_;
  Limits limits_;
  std::map<HostIncarnation, OwnerEntry> owners_;
  // Incarnations of a host up to this one without an entry have been dropped.
  std::map<HostId, Incarnation> forgotten_;
};

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_WITNESS_TABLE_H_
