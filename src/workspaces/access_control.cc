#include "include/workspaces/access_control.h"

#include <algorithm>
#include <utility>

namespace toucanknot {
namespace {

// The store is usually back, and read again, within about a second.
constexpr Duration kUnprovenRetryAfter{500};
// An unknown key is denied only if the configuration was proven this recently;
// otherwise a newer one may hold it.
constexpr Duration kRecentProof{3'000};

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
  const bool needs_key = NeedsKey(route);
  const bool within_proof = IsWithinProof(times.began);
  if (needs_key && !within_proof) {
    out.refusal = AccessRefusal::kUnproven;
    out.retry_after = kUnprovenRetryAfter;
    return out;
  }
  if (within_proof)
    out.workspace = keys_.Find(key);
  if (!out.workspace) {
    if (needs_key) {
      const bool recent = out.proof_age <= kRecentProof;
      out.refusal =
          recent ? AccessRefusal::kUnknownKey : AccessRefusal::kUnproven;
      out.retry_after = kUnprovenRetryAfter;
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
    out.cap = caps_.FiguresOf(out.workspace->id, now);
    out.refusal = AccessRefusal::kOverCap;
    out.retry_after = admission.retry_after;
  }
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
  if (!admitted.workspace)
    return !NeedsKey(route);
  if (!IsWithinProof(times.began))
    return false;
  const WorkspacePtr now_holds = keys_.Find(key);
  return now_holds && now_holds->id == admitted.workspace->id;
}

bool AccessControl::AdmitAgain(const Decision& admitted, Instant now) {
  return !admitted.workspace ||
         caps_.Admit(admitted.workspace->id, now).admitted;
}

void AccessControl::Refund(const Decision& admitted, Instant now) {
  if (admitted.workspace)
    caps_.Refund(admitted.workspace->id, now);
}

}  // namespace toucanknot
