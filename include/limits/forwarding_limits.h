#ifndef INCLUDE_LIMITS_FORWARDING_LIMITS_H_
#define INCLUDE_LIMITS_FORWARDING_LIMITS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/ids.h"
#include "include/config/fleet_config.h"
#include "include/limits/budget_messages.h"
#include "include/limits/host_budget.h"
#include "include/limits/link_limiter.h"
#include "include/limits/shift_limiter.h"
#include "include/limits/slow_start.h"

namespace toucanknot {

// Why a request may not be forwarded to another region.
enum class ForwardingDenial {
  kNone,
  // The region is unavailable, settling, or in slow start.
  kRegion,
  // The link is at its limit in one direction.
  kLink,
  // The limit on shifted traffic is reached for this interval.
  kShift,
};

inline constexpr EnumNames<ForwardingDenial, 4> kForwardingDenialNames{
    {"none", "region", "link", "shift"}};

// Whether a request may be forwarded, and what was reserved for it.
struct ForwardingPermit {
  ForwardingDenial denial = ForwardingDenial::kNone;
  // Bytes reserved for the response, for OnForwardingEnded().
  int64_t reserved_bytes = 0;

  bool allowed() const { return denial == ForwardingDenial::kNone; }
};

// The caps that `host` shares: each direction of every link from or to its
// region, divided among the hosts at both ends.
std::vector<Cap> LinkCapsOf(const FleetConfig& config,
                            const HostId& host,
                            int64_t unix_ms);

// All limits of one host on forwarding to other regions: its share of the
// links, each service's shift limit, and slow start for regions that become
// available again.
class ForwardingLimits {
 public:
  // The maximum time for which members may have different configurations; see
  // HostBudget::SetCaps().
  static constexpr Duration kGrowAfter{30'000};

  ForwardingLimits(HostId host,
                   Incarnation incarnation,
                   BudgetTimes times,
                   SlowStart::Options slow_start,
                   Instant now);

  void OnConfig(const FleetConfigPtr& config, int64_t unix_ms, Instant now);
  // Whether `region` is available, as observed by this host.
  void OnRegion(const RegionId& region, bool available, Instant now);
  // Updates the link rates from the budget. Call several times a second.
  void Advance(Instant now);

  // A request of `service` arrived, wherever it will be served.
  void OnRequest(const ServiceId& service, Instant now);
  // Whether it may be forwarded to `region`; reserves bandwidth if so. Every
  // permit that is allowed() must be ended by OnForwardingEnded().
  ForwardingPermit MayForward(const ServiceId& service,
                              const RegionId& region,
                              int64_t request_bytes,
                              Instant now);
  // `response_bytes` were received; 0 if there was no response.
  void OnForwardingEnded(const ServiceId& service,
                         const RegionId& region,
                         const ForwardingPermit& permit,
                         int64_t response_bytes,
                         Instant now);

  // Used for the exchange with the holder.
  HostBudget& budget() { return budget_; }
  // The free share, from 0 to 1, of this host's part of the link to `region`,
  // in the busier direction.
  double Headroom(const RegionId& region, Instant now);
  std::string Explain(Instant now);

 private:
  // Measures the demand on one cap in bytes, whether it was permitted or not.
  class Meter {
   public:
    void Add(int64_t bytes) { bytes_ += bytes; }
    // Returns the moving mean rate in kbit/s; call at regular intervals.
    int64_t Roll(Duration since);

   private:
    int64_t bytes_ = 0;
    double kbit_per_s_ = 0;
  };
  struct RegionLimits {
    explicit RegionLimits(SlowStart::Options options) : slow_start(options) {}

    LinkLimiter link;
    SlowStart slow_start;
    // Accumulated slow start share; a request is permitted when it reaches 1.
    double credit = 0;
    Meter out;
    Meter back;
  };
  using ShiftKey = std::pair<ServiceId, RegionId>;

  // Whether the region's slow start permits one more request.
  static bool TakeSlowStart(RegionLimits* limits, Instant now);
  RegionLimits* FindRegion(const RegionId& region);
  void SetRates(Instant now);

  HostId host_;
  SlowStart::Options slow_start_options_;
  HostBudget budget_;
  RegionId region_;
  std::map<RegionId, RegionLimits> regions_;
  std::map<ShiftKey, ShiftLimiter> shifts_;
  std::map<ServiceId, ResponseSizeEstimate> response_sizes_;
  Instant last_metered_;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_FORWARDING_LIMITS_H_
