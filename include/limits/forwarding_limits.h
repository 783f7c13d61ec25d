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

// Why a request may not be passed to another region.
enum class ForwardingDenial {
  kNone,
  // The region is away, settles, or takes only a part while it ramps.
  kRegion,
  // The link is at its limit, one way or the other.
  kLink,
  // The shift is at its limit for this interval.
  kShift,
};

inline constexpr EnumNames<ForwardingDenial, 4> kForwardingDenialNames{
    {"none", "region", "link", "shift"}};

// The answer to whether a request may be passed.
struct ForwardingPermit {
  ForwardingDenial denial = ForwardingDenial::kNone;
  // Bytes reserved for the answer; to be given to OnForwardingEnded().
  int64_t reserved_bytes = 0;

  bool allowed() const { return denial == ForwardingDenial::kNone; }
};

// The caps that `host` shares by `config`: every link from or to its region,
// each direction, divided among the hosts at its two ends.
std::vector<Cap> LinkCapsOf(const FleetConfig& config,
                            const HostId& host,
                            int64_t unix_ms);

// All limits that one host applies to what it passes to other regions: its
// part of the links, the shifts of each service, and regions that come back.
class ForwardingLimits {
 public:
  // How long members may differ in their configuration; see
  // HostBudget::SetCaps().
  static constexpr Duration kGrowAfter{30'000};

  ForwardingLimits(HostId host,
                   Incarnation incarnation,
                   BudgetTimes times,
                   SlowStart::Options ramp,
                   Instant now);

  void OnConfig(const FleetConfigPtr& config, int64_t unix_ms, Instant now);
  // Whether `region` can be used, by what the host sees of it.
  void OnRegion(const RegionId& region, bool available, Instant now);
  // Call several times a second: brings the rates in line with the budget.
  void Advance(Instant now);

  // A request of `service` arrived, wherever it will go.
  void OnRequest(const ServiceId& service, Instant now);
  // Whether it may be passed to `region`; reserves what it needs if so. Every
  // permit that allows ends by OnForwardingEnded().
  ForwardingPermit MayForward(const ServiceId& service,
                              const RegionId& region,
                              int64_t request_bytes,
                              Instant now);
  // `response_bytes` came back; 0 when none did.
  void OnForwardingEnded(const ServiceId& service,
                         const RegionId& region,
                         const ForwardingPermit& permit,
                         int64_t response_bytes,
                         Instant now);

  // For the exchange with the holder.
  HostBudget& budget() { return budget_; }
  // Share of this host's part of the link to `region` that is free, of the
  // fuller direction, from 0 to 1.
  double Headroom(const RegionId& region, Instant now);
  std::string Explain(Instant now);

 private:
  // Bytes that were wanted of one cap lately, allowed or not.
  class Meter {
   public:
    void Add(int64_t bytes) { bytes_ += bytes; }
    // The mean rate in kbit/s, moving; call at regular times.
    int64_t Roll(Duration since);

   private:
    int64_t bytes_ = 0;
    double kbit_per_s_ = 0;
  };
  struct RegionLimits {
    explicit RegionLimits(SlowStart::Options options) : ramp(options) {}

    LinkLimiter link;
    SlowStart ramp;
    // Passes owed to a region that takes a part.
    double credit = 0;
    Meter out;
    Meter back;
  };
  using ShiftKey = std::pair<ServiceId, RegionId>;

  // Whether the region's ramp lets one more request through.
  static bool TakeSlowStart(RegionLimits* limits, Instant now);
  RegionLimits* FindRegion(const RegionId& region);
  void SetRates(Instant now);

  HostId host_;
  SlowStart::Options ramp_;
  HostBudget budget_;
  RegionId region_;
  std::map<RegionId, RegionLimits> regions_;
  std::map<ShiftKey, ShiftLimiter> shifts_;
  std::map<ServiceId, ResponseSizeEstimate> answers_;
  Instant metered_;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_FORWARDING_LIMITS_H_
