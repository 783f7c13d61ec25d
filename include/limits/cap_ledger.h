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

// Identifies one incarnation of a host.
struct HostKey {
  HostId host;
  Incarnation incarnation = 0;

  auto operator<=>(const HostKey&) const = default;
};

// A holder's record of one cap: the loans, grants and demand of every host.
//
// At any time the valid grants are covered by valid loans and freed shares of
// unreachable hosts: a grant uses only units that are lent until it ends and
// are not covered by another valid grant. Sums over hosts are cached; with many
// hosts they are recomputed periodically, and are conservative in between.
class CapLedger {
 public:
  // `grant_span`: how long the units of a grant count as used, from the reply.
  explicit CapLedger(Duration grant_span) : grant_span_(grant_span) {}

  // Records the use of `host`. Its loans and promises last until `loans_end`;
  // they are ignored if it is not set.
  void ApplyUse(const HostKey& host,
                const CapUse& use,
                std::optional<Instant> loans_end,
                Instant now);
  // Makes a grant with the number `sequence` for `host`. Call after ApplyUse().
  CapGrant MakeGrant(const HostKey& host,
                     const CapUse& use,
                     uint64_t sequence,
                     Instant now);
  // Drops expired loans, grants, promises and hosts.
  void DropExpired(Instant now);

  int64_t LentUntil(Instant end) const;
  int64_t Granted(Instant now) const;
  // Units of unreachable hosts that these cannot use until `end`.
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
    // When the holder may grant the units to another host.
    Instant end;
  };
  // The contribution of an account to the sums.
  struct Totals {
    int64_t lent = 0;
    int64_t granted = 0;
    int64_t needed = 0;
  };
  struct Account {
    std::vector<Loan> loans;
    std::vector<Grant> grants;
    int64_t wanted = 0;
    int64_t needed = 0;
    Instant last_request_at;
    Totals counted;

    int64_t LentUntil(Instant end) const;
    int64_t Granted(Instant now) const;
  };
  // The promise of a member not to vote for another.
  struct Promise {
    HostId voter;
    int64_t units = 0;
    Instant end;
  };

  // The demand of a host that sent no request for longer than this is ignored.
  static constexpr Duration kSilentAfter{3'000};
  // With more than kFewHosts hosts, sums are recomputed only every
  // kRefreshInterval.
  static constexpr size_t kFewHosts = 16;
  static constexpr Duration kRefreshInterval{100};

  void RecordLoan(const CapUse& use, Instant end, Account* account);
  static void RecordFollowedGrant(const CapUse& use, Account* account);
  void RecomputeSums(Instant now);
  // Updates the contribution of one account to the sums.
  void UpdateSums(Account* account, Instant now);
  // Releases loans that are not renewed, as far as no grant is covered by them;
  // returns the units that remain lent.
  int64_t ReleaseLoans(Account* account, int64_t lent, Instant now);

  Duration grant_span_;
  std::map<HostKey, Account> accounts_;
  // Keyed by the member that is renounced.
  std::map<HostId, std::vector<Promise>> promises_;
  size_t renouncers_needed_ = 0;

  // Sums of the units lent until `sums_until_`, which is no earlier than the
  // end of any grant made before the next refresh.
  Totals sum_;
  int64_t free_ = 0;
  // The maximum units per host while units are scarce.
  int64_t fair_level_ = 0;
  Instant sums_until_;
  Instant last_refresh_ = Instant(-Duration::Max().ms());
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_CAP_LEDGER_H_
