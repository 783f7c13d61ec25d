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

// What a witness says of a ticket.
enum class WitnessReply {
  // The owner may hand the request over.
  kGranted,
  // Nobody may; it did not run and never will.
  kVoided,
  // The owner was allowed to hand it over: it may have run.
  kClaimed,
  // The owner reported that it ran.
  kRan,
  // The witness no longer knows, or never was this ticket's witness.
  kUnknown,
};

inline constexpr EnumNames<WitnessReply, 5> kWitnessReplyNames{
    {"granted", "voided", "claimed", "ran", "unknown"}};

// The second, volatile record of tickets, kept by a host in another zone than
// the owner. A ticket names its witness at issue, in one life of that host. The
// first of Claim() by the owner and Ask() by any other host decides: claimed,
// or void. So a third host learns the truth also when the owner is dead,
// restarted or cut off. A witness that died or was restarted is asked in vain:
// unknown. Not thread-safe.
class WitnessTable {
 public:
  struct Limits {
    // How long a record is kept after its last change.
    Duration keep{420'000};
    // How long nothing is heard of an owner's life until all of it is
    // forgotten.
    Duration keep_owner{86'400'000};
    // Records of one owner's life.
    size_t max_records = 100'000;
  };

  WitnessTable(HostIncarnation self, Limits limits);

  // The owner is about to hand the request over. kGranted or kVoided; a repeat
  // of a granted claim is granted again.
  WitnessReply Claim(const Ticket& ticket, Instant now);
  // The owner reports the end: ran, or not run (which voids). Nothing is
  // changed by kUnknown.
  void Settle(const Ticket& ticket, Verdict verdict, Instant now);
  // A host that could not reach the owner asks. Voids an unclaimed ticket.
  WitnessReply Ask(const Ticket& ticket, Instant now);

  // An owner that stops gracefully leaves what it knows: the runs that ran or
  // may have run, and how far its records go back. Everything else is void.
  // Takes the tickets of `owner` that name no witness or another one, too.
  void TakeOver(const TicketHandoff& handoff, Instant now);
  // Whether TakeOver() was called for `owner`.
  bool HasTakenOver(const HostIncarnation& owner) const;

  // Drops records whose time is up.
  void Expire(Instant now);
  size_t size() const;

 private:
  struct Entry {
    WitnessReply word = WitnessReply::kUnknown;
    Instant forget_at;
  };
  struct OwnerEntry {
    std::map<uint64_t, Entry> tickets;
    // Up to here, what has no entry may have been claimed.
    uint64_t forgotten_mark = 0;
    // The owner is gone: nothing can be claimed any more.
    bool closed = false;
    Instant forget_at;
  };

  // The entry of `owner`, made if need be; null when it was forgotten.
  OwnerEntry* EntryOf(const HostIncarnation& owner, Instant now);
  void Put(OwnerEntry& owner,
           uint64_t sequence,
           WitnessReply word,
           Instant now);

  HostIncarnation self_;
  Limits limits_;
  std::map<HostIncarnation, OwnerEntry> owners_;
  // Lives of a host up to here that have no entry are forgotten.
  std::map<HostId, Incarnation> forgotten_;
};

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_WITNESS_TABLE_H_
