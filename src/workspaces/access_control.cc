#include "include/workspaces/access_control.h"

#include <algorithm>
#include <utility>

namespace toucanknot {
namespace {

// The store is usually back, and read again, within about a second. After a
// longer outage, callers are spread over a longer time, so that they do not all
// return at the first proof.
constexpr Duration kUnprovenRetryAfter{500};
constexpr Duration kMaxUnprovenRetryAfter{1'500};
// A new configuration is in force after this time. An unknown key is denied
// only if the configuration was proven more recently; otherwise a newer one
// that is in force may hold the key.
constexpr Duration kConfigApply{3'000};

}  // namespace

void AccessControl::OnConfig(const RouteConfigPtr& config) {
  keys_.OnConfig(config);
  caps_.OnConfig(config);
}

bool AccessControl::IsWithinProof(Instant began) const {
  if (!options_.revoke_within)
    return true;
  const auto proven_at = options_.proven_at();
  return proven_at && began <= *proven_at + *options_.revoke_within;
}

bool AccessControl::IsProven(Instant boot_now) const {
  return !keys_.required() || IsWithinProof(boot_now);
}

AccessControl::Decision AccessControl::Check(const Route& route,
                                             std::string_view key,
                                             const Times& times) const {
  Decision out;
  out.allowed_regions = route.allowed_regions;
  if (!keys_.required())
    return out;
  if (const auto proven_at = options_.proven_at())
    out.proof_age = times.now - *proven_at;
  out.retry_after = std::clamp(out.proof_age / 4, kUnprovenRetryAfter,
                               kMaxUnprovenRetryAfter);
  const bool needs_key = NeedsKey(route);
  const bool within_proof = IsWithinProof(times.began);
  if (needs_key && !within_proof) {
    out.refusal = AccessRefusal::kUnproven;
    return out;
  }
  if (within_proof)
    out.workspace = keys_.Find(key);
  if (!out.workspace) {
    if (needs_key) {
      const bool unreachable =
          options_.store_unreachable && options_.store_unreachable();
      const bool recent = out.proof_age <= kConfigApply && !unreachable;
      out.refusal =
          recent ? AccessRefusal::kUnknownKey : AccessRefusal::kUnproven;
    }
    return out;
  }
  const std::vector<RegionId>& homes = out.workspace->allowed_regions;
  if (homes.empty())
    return out;
  if (out.allowed_regions.empty()) {
    out.allowed_regions = homes;
    return out;
  }
  std::erase_if(out.allowed_regions, [&](const RegionId& it) {
    return std::find(homes.begin(), homes.end(), it) == homes.end();
  });
  if (out.allowed_regions.empty())
    out.refusal = AccessRefusal::kNoRegion;
  return out;
}

AccessControl::Decision AccessControl::Admit(const Route& route,
                                             std::string_view key,
                                             const Times& times,
                                             Instant now) {
  Decision out = Check(route, key, times);
  if (out.refusal != AccessRefusal::kNone || !out.workspace)
    return out;
  const UsageCaps::Admission admission = caps_.Admit(out.workspace->id, now);
  if (!admission.admitted) {
    out.refusal = AccessRefusal::kOverCap;
    out.retry_after = admission.retry_after;
  }
  out.counted_at = now;
  return out;
}

AccessControl::Decision AccessControl::Explain(const Route& route,
                                               std::string_view key,
                                               const Times& times,
                                               Instant now) {
  Decision out = Check(route, key, times);
  if (out.refusal != AccessRefusal::kNone || !out.workspace)
    return out;
  const UsageCaps::Admission admission = caps_.Preview(out.workspace->id, now);
  if (!admission.admitted) {
    out.refusal = AccessRefusal::kOverCap;
    out.retry_after = admission.retry_after;
  }
  return out;
}

bool AccessControl::MayStillRun(const Route& route,
                                std::string_view key,
                                const Decision& admitted,
                                const Times& times) const {
  if (!NeedsKey(route))
    return true;
  if (!admitted.workspace || !IsWithinProof(times.began))
    return false;
  const WorkspacePtr now_holds = keys_.Find(key);
  return now_holds && now_holds->id == admitted.workspace->id &&
         now_holds->allowed_regions == admitted.workspace->allowed_regions;
}

void AccessControl::OnRun(Decision& admitted, Instant now) {
  if (!admitted.workspace)
    return;
  caps_.OnRun(admitted.workspace->id, admitted.counted_at, now);
  admitted.counted_at = now;
}

bool AccessControl::AdmitAgain(Decision& admitted, Instant now) {
  if (!admitted.workspace)
    return true;
  if (!caps_.Admit(admitted.workspace->id, now).admitted)
    return false;
  admitted.counted_at = now;
  return true;
}

void AccessControl::Refund(const Decision& admitted, Instant now) {
  if (admitted.workspace)
    caps_.Refund(admitted.workspace->id, admitted.counted_at, now);
}

}  // namespace toucanknot
