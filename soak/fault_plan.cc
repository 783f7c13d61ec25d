#include "soak/fault_plan.h"

#include <algorithm>
#include <random>

namespace toucanknot::soak {
namespace {

// The faults of an episode begin within this time, which is two heartbeats of a
// server, so that they overlap or follow each other closely.
constexpr int64_t kEpisodeLengthMs = 3'000;
// From the begin of one episode to the begin of the next: short gaps leave a
// host no time to settle, long ones leave it some seconds.
constexpr int64_t kMinEpisodeGapMs = 2'000;
constexpr int64_t kMaxEpisodeGapMs = 12'000;
constexpr int kMaxFaultsPerEpisode = 5;
// Length of a fault: from shorter than any timer of the fleet to longer than a
// lease.
constexpr int64_t kMinFaultMs = 100;
constexpr int64_t kMaxFaultMs = 6'000;
// Mean time between planned changes, which are independent of the episodes.
constexpr int64_t kMeanPlannedGapMs = 5'000;
// The kinds that episodes consist of, and the mean time between faults of the
// others, which were added in steps.
constexpr int64_t kEpisodeKinds = static_cast<int64_t>(FaultKind::kLimitServer);
constexpr int64_t kRefusalKinds =
    static_cast<int64_t>(FaultKind::kShedRequests);
constexpr int64_t kRestoreKinds =
    static_cast<int64_t>(FaultKind::kRestoreStore);
constexpr int64_t kMeanLateKindGapMs = 6'000;
constexpr int64_t kMeanRefusalGapMs = 10'000;
constexpr int64_t kMeanRestoreGapMs = 15'000;
constexpr int64_t kMeanStoreSeriesGapMs = 20'000;
constexpr Duration kStopInterval{3'000};
constexpr FaultKind kPlannedKinds[] = {
    FaultKind::kChangeConfig, FaultKind::kReplaceServer, FaultKind::kStopHost,
    FaultKind::kEvacuateZone, FaultKind::kReloadHost};

}  // namespace

std::vector<Fault> GenerateFaultPlan(uint64_t seed, Duration length) {
  std::mt19937_64 random(seed);
  const auto draw = [&](int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random);
  };
  std::vector<Fault> plan;
  const auto add = [&](int64_t at, FaultKind kind) {
    plan.push_back({Duration(at), kind, random(),
                    Duration(draw(kMinFaultMs, kMaxFaultMs))});
  };
  const int64_t end = length.ms() - kEpisodeLengthMs;
  for (int64_t at = draw(0, kMinEpisodeGapMs); at < end;
       at += draw(kMinEpisodeGapMs, kMaxEpisodeGapMs)) {
    for (int64_t n = draw(1, kMaxFaultsPerEpisode); n > 0; --n) {
      // Arguments of one call are evaluated in no particular order.
      const auto kind = static_cast<FaultKind>(draw(0, kEpisodeKinds - 1));
      const int64_t offset = draw(0, kEpisodeLengthMs);
      add(at + offset, kind);
    }
  }
  for (int64_t at = draw(0, kMeanPlannedGapMs); at < end;
       at += draw(1, 2 * kMeanPlannedGapMs)) {
    add(at, kPlannedKinds[draw(0, std::size(kPlannedKinds) - 1)]);
  }
  // Each step is drawn after all before, so that earlier seeds keep those.
  for (int64_t at = draw(0, kMeanLateKindGapMs); at < end;
       at += draw(1, 2 * kMeanLateKindGapMs)) {
    add(at, static_cast<FaultKind>(draw(kEpisodeKinds, kRefusalKinds - 1)));
  }
  for (int64_t at = draw(0, kMeanRefusalGapMs); at < end;
       at += draw(1, 2 * kMeanRefusalGapMs)) {
    add(at, static_cast<FaultKind>(draw(kRefusalKinds, kRestoreKinds - 1)));
  }
  for (int64_t at = draw(0, kMeanRestoreGapMs); at < end;
       at += draw(1, 2 * kMeanRestoreGapMs)) {
    add(at, FaultKind::kRestoreStore);
  }
  for (int64_t at = draw(0, kMeanStoreSeriesGapMs); at < end;
       at += draw(1, 2 * kMeanStoreSeriesGapMs)) {
    add(at, FaultKind::kStoreFailsThenSilent);
  }
  std::stable_sort(plan.begin(), plan.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
  return plan;
}

std::vector<Fault> GenerateStopPlan(Duration length) {
  std::vector<Fault> plan;
  uint64_t host = 0;
  for (Duration at; at < length; at = at + kStopInterval)
    plan.push_back({at, FaultKind::kStopHost, host++, kStopInterval});
  return plan;
}

}  // namespace toucanknot::soak
