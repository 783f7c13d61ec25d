#ifndef INCLUDE_LIMITS_BUDGET_MESSAGES_H_
#define INCLUDE_LIMITS_BUDGET_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/limits/cap.h"

namespace toucanknot {

// Who hands out grants. A later lease has a greater epoch; two hosts that
// claim one epoch are told apart by the rest.
struct HolderId {
  uint64_t epoch = 0;
  HostId host;
  Incarnation incarnation = 0;

  auto operator<=>(const HolderId&) const = default;
};

// The durations that hosts and holders must agree on; part of the program, not
// of the configuration, so that a change of configuration cannot split them.
struct BudgetTimes {
  // Life of a grant, from the moment its host asked for it.
  Duration grant{2'000};
  // How long a lender keeps off what it lent, from the moment it said so.
  Duration loan{16'000};
  // How long work that was admitted under a grant may outlive it.
  Duration settle{10'000};
  // How long a vote counts, from the moment its host asked for it.
  Duration vote{3'000};
  // Whether the parts of lost hosts are traded by votes (ShareVotes).
  bool voting = false;
  // Clocks run at the true rate, give or take this many parts in a million.
  int64_t drift_ppm = 1'000;

  // `d` on any clock lasts no longer than the result on any other.
  Duration AtLeast(Duration d) const;
  // `d` on any clock lasts at least as long as the result on any other.
  Duration AtMost(Duration d) const;
};

// A member of a cap that the sender renounces for BudgetTimes::loan, and the
// units that it thereby frees when enough others do so too.
struct RenouncedShare {
  HostId member;
  int64_t units = 0;
};

// What a host says about one cap in a request.
struct CapUse {
  CapId cap;
  // Units of grants that it wants in hand, and those of them that it could use
  // now, with work that waits.
  int64_t wanted = 0;
  int64_t needed = 0;
  // Units of its static share that it keeps off for BudgetTimes::loan from
  // the moment it sends this.
  int64_t lent = 0;
  // The newest grant that it follows, and the most units of grants that its
  // running work still holds.
  uint64_t followed = 0;
  int64_t held = 0;
  // Members that the host renounces, and how many hosts must.
  std::vector<RenouncedShare> renounced;
  size_t renouncers_needed = 0;
};

// A host to the holder.
struct BudgetRequest {
  HostId host;
  Incarnation incarnation = 0;
  // Counts this incarnation's requests.
  uint64_t number = 0;
  // Whom the loans are made to; no loans when it is not the receiver.
  HolderId holder;
  // The newest stamp received from that holder; 0 before the first.
  int64_t holder_stamp = 0;
  std::vector<CapUse> uses;
};

struct CapGrant {
  CapId cap;
  // Grows with every grant of one holder.
  uint64_t sequence = 0;
  int64_t units = 0;
  // The host's loans up to the answered request bind it to no more than this.
  int64_t bound = 0;
  // Hosts need more than there is: slack is better lent.
  bool scarce = false;
};

// The holder to a host.
struct BudgetReply {
  HolderId holder;
  // Opaque to the host, which sends it back.
  int64_t stamp = 0;
  Incarnation incarnation = 0;
  // The request that this answers.
  uint64_t number = 0;
  std::vector<CapGrant> grants;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_BUDGET_MESSAGES_H_
