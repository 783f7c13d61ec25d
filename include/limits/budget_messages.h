#ifndef INCLUDE_LIMITS_BUDGET_MESSAGES_H_
#define INCLUDE_LIMITS_BUDGET_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/limits/cap.h"

namespace toucanknot {

// Identifies a holder, which hands out grants. A later lease has a greater
// epoch; the other fields distinguish two hosts that claim the same epoch.
struct HolderId {
  uint64_t epoch = 0;
  HostId host;
  Incarnation incarnation = 0;

  auto operator<=>(const HolderId&) const = default;
};

// The durations that hosts and holders must agree on. They are compiled in
// rather than configured, so that hosts cannot disagree during a configuration
// change.
struct BudgetTimes {
  // Validity of a grant, from the time its host sent the request.
  Duration grant{2'000};
  // How long a lender does not use what it lent, from the time it sent the
  // request.
  Duration loan{16'000};
  // How long work that was admitted under a grant may continue after its end.
  Duration settle{10'000};
  // Validity of a vote, from the time its host sent the request.
  Duration vote{3'000};
  // Whether parts of the shares of unreachable hosts are made available by
  // votes (ShareVotes).
  bool voting = false;
  // The maximum deviation of clock rates, in parts per million.
  int64_t drift_ppm = 1'000;

  // A duration that, measured on any host's clock, is at least as long as `d`
  // on any other.
  Duration AtLeast(Duration d) const;
  // A duration that, measured on any host's clock, is at most as long as `d` on
  // any other.
  Duration AtMost(Duration d) const;
};

// A member of a cap to which the sender promises not to vote for
// BudgetTimes::loan, and the units that become free when enough members promise
// so.
struct RenouncedShare {
  HostId member;
  int64_t units = 0;
};

// The part of a request about one cap.
struct CapUse {
  CapId cap;
  // Granted units that the host wants to have, and those of them that it would
  // use now for running and waiting work.
  int64_t wanted = 0;
  int64_t needed = 0;
  // Units of its static share that it does not use for BudgetTimes::loan from
  // the time it sends this.
  int64_t lent = 0;
  // The newest grant that the host has applied, and the maximum number of
  // granted units that its running work still uses.
  uint64_t followed = 0;
  int64_t held = 0;
  // Members that the host renounces, and how many hosts must renounce a member
  // to free its units.
  std::vector<RenouncedShare> renounced;
  size_t renouncers_needed = 0;
};

// Sent by a host to the holder.
struct BudgetRequest {
  HostId host;
  Incarnation incarnation = 0;
  // Sequence number of the request within this incarnation.
  uint64_t number = 0;
  // The holder that the loans are made to; if it is not the receiver, the loans
  // are ignored.
  HolderId holder;
  // The newest stamp received from that holder; 0 if none was received yet.
  int64_t holder_stamp = 0;
  std::vector<CapUse> uses;
};

struct CapGrant {
  CapId cap;
  // Increases with every grant of one holder.
  uint64_t sequence = 0;
  int64_t units = 0;
  // The host's loans in requests up to the one replied to are reduced to at
  // most this.
  int64_t bound = 0;
  // The hosts need more units than there are; each should lend what it does not
  // use.
  bool scarce = false;
};

// Sent by the holder to a host.
struct BudgetReply {
  HolderId holder;
  // Opaque to the host, which echoes it in its next request.
  int64_t stamp = 0;
  Incarnation incarnation = 0;
  // The number of the request that this replies to.
  uint64_t number = 0;
  std::vector<CapGrant> grants;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_BUDGET_MESSAGES_H_
