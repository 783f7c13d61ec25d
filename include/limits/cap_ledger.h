#ifndef INCLUDE_LIMITS_CAP_LEDGER_H_
#define INCLUDE_LIMITS_CAP_LEDGER_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <boost/json/array.hpp>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/limits/budget_messages.h"

namespace toucanknot {

// One life of a host, as a holder knows it.
struct HostKey {
  HostId host;
  Incarnation incarnation = 0;

  auto operator<=>(const HostKey&) const = default;
};

// What a holder knows of one cap: loans, grants and wants of every host.
//
// Grants alive at any time are covered by loans (and freed shares of lost
// hosts) alive at that time: a grant is made only from loans that last until
// it ends, beyond all grants that are alive. Sums over hosts are kept; with
// many hosts they are worked out anew only from time to time, and err on the
// safe side in between.
class CapLedger {
 public:
  // `grant_span`: how long a grant counts from the answer that makes it.
  explicit CapLedger(Duration grant_span) : grant_span_(grant_span) {}

  // Takes what `host` says. Its loans and promises last until `loans_end`;
  // without one they are void.
  void Take(const HostKey& host,
            const CapUse& use,
            std::optional<Instant> loans_end,
            Instant now);
  // Grants `host` its part, as `sequence`. Call after Take().
  CapGrant MakeGrant(const HostKey& host,
                     const CapUse& use,
                     uint64_t sequence,
                     Instant now);
  // Drops what has ended.
  void Forget(Instant now);

  int64_t LentUntil(Instant end) const;
  int64_t Granted(Instant now) const;
  // Units of lost hosts that nobody else can use until `end`.
  int64_t FreeUntil(Instant end) const;
  boost::json::array ExplainHosts(Instant now) const;

 private:
  struct Loan {
    int64_t units = 0;
    Instant end;
  };
  struct Grant {
    uint64_t sequence = 0;
    int64_t units = 0;
    // When the holder may hand its units to another.
    Instant end;
  };
  // What an account adds to the sums.
  struct Part {
    int64_t lent = 0;
    int64_t granted = 0;
    int64_t needed = 0;
  };
  struct Account {
    std::vector<Loan> loans;
    std::vector<Grant> grants;
    int64_t wanted = 0;
    int64_t needed = 0;
    Instant heard;
    Part counted;

    int64_t LentUntil(Instant end) const;
    int64_t Granted(Instant now) const;
  };
  // One member's promise to give another no vote.
  struct Promise {
    HostId voter;
    int64_t units = 0;
    Instant end;
  };

  // A host that has been silent for longer has no say in the division.
  static constexpr Duration kSilentAfter{3'000};
  // With more hosts than this, sums are worked out anew this often.
  static constexpr size_t kFewHosts = 16;
  static constexpr Duration kRefreshEvery{100};

  void TakeLoans(const CapUse& use, Instant end, Account* account);
  static void TakeFollowed(const CapUse& use, Account* account);
  void Refresh(Instant now);
  // Brings one account's part of the sums up to date.
  void Recount(Account* account, Instant now);
  // Gives loans back that are not renewed, as far as no grant rests on them;
  // returns what still binds the host.
  int64_t Unbind(Account* account, int64_t lent, Instant now);

  Duration grant_span_;
  std::map<HostKey, Account> accounts_;
  // By the member that is renounced.
  std::map<HostId, std::vector<Promise>> promises_;
  size_t renouncers_needed_ = 0;

  // Sums of what is lent until `until_`, which is no sooner than any grant
  // made before the next refresh ends.
  Part sum_;
  int64_t free_ = 0;
  // No host gets more than this while units are scarce.
  int64_t fair_level_ = 0;
  Instant until_;
  Instant refreshed_ = Instant(-Duration::Max().ms());
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_CAP_LEDGER_H_
