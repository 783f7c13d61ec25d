#ifndef INCLUDE_WORKSPACES_ACCESS_CONTROL_H_
#define INCLUDE_WORKSPACES_ACCESS_CONTROL_H_

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/limits/usage_caps.h"
#include "include/routing/route_config.h"
#include "include/workspaces/key_directory.h"

namespace toucanknot {

// Why a request is not served although its route exists.
enum class AccessRefusal {
  kNone,
  // The host cannot prove that its configuration is recent enough to serve
  // requests with keys.
  kUnproven,
  // No workspace holds the key, or there is none.
  kUnknownKey,
  // The workspace has used up its cap.
  kOverCap,
  // The route and the workspace have no region in common.
  kNoRegion,
};

inline constexpr EnumNames<AccessRefusal, 5> kAccessRefusalNames{
    {"none", "unproven", "unknown-key", "over-cap", "no-region"}};

// Decides whether a request may be served, by its API key, the workspace's cap
// and regions, and how recent the host's configuration certainly is.
//
// A key that was removed must not let a request run that its caller sent later
// than `revoke_within` after the store had acknowledged the removal, also while
// the host cannot reach the store. The configuration is proven at the time at
// which the host sent a read of the store that has completed: a removal that
// the host does not know of came later than that. So a request that began no
// later than `revoke_within` after the proof may run. These times are on
// BootNow()'s clock, since a suspended host must not take old for recent.
//
// Does no I/O. Not thread-safe.
class AccessControl {
 public:
  struct Options {
    // Not set if removed keys need not end within a time.
    std::optional<Duration> revoke_within;
    // When the configuration was last proven, on BootNow()'s clock; nothing
    // before the first time.
    std::function<std::optional<Instant>()> proven_at;
    // Whether calls to the store fail at present. May be empty.
    std::function<bool()> store_unreachable;
  };
  // When a request began and the current time, each on the clock that counts
  // suspension.
  struct Times {
    Instant began;
    Instant now;
  };
  struct Decision {
    AccessRefusal refusal = AccessRefusal::kNone;
    // Null if the request needs no key and has none that is known.
    WorkspacePtr workspace;
    // Where the request may run; empty means everywhere.
    std::vector<RegionId> allowed_regions;
    Duration retry_after;
    // When its run was counted towards the cap.
    Instant counted_at;
    // The age of the proof; Max() if there is none.
    Duration proof_age = Duration::Max();
  };

  AccessControl(Options options, UsageCaps& caps)
      : options_(std::move(options)), caps_(caps) {}

  void OnConfig(const RouteConfigPtr& config);

  // Whether a new request may be served. Counts it towards the cap of its
  // workspace if it may; call Refund() if it turns out not to have run.
  Decision Admit(const Route& route,
                 std::string_view key,
                 const Times& times,
                 Instant now);
  // As Admit(), but counts nothing.
  Decision Explain(const Route& route,
                   std::string_view key,
                   const Times& times,
                   Instant now);
  // The figures behind the cap of a workspace.
  UsageCaps::Figures CapFiguresOf(const WorkspaceId& workspace,
                                  Instant now) const {
    return caps_.FiguresOf(workspace, now);
  }
  // Whether a request that was admitted may be sent now: its key may have been
  // removed since, or its workspace's regions may have changed. Requests of
  // public routes always may.
  bool MayStillRun(const Route& route,
                   std::string_view key,
                   const Decision& admitted,
                   const Times& times) const;
  // Must be called when an admitted request is sent: the run counts towards the
  // cap from now on, however long it has waited.
  void OnRun(Decision& admitted, Instant now);
  // Counts another run of an admitted request, if the cap allows it.
  bool AdmitAgain(Decision& admitted, Instant now);
  void Refund(const Decision& admitted, Instant now);
  // The figures behind a decision on the cap.
  UsageCaps::Figures CapFiguresOf(const Decision& decision, Instant now) const {
    return decision.workspace ? caps_.FiguresOf(decision.workspace->id, now)
                              : UsageCaps::Figures();
  }

  // Whether requests with keys can be served now.
  bool IsProven(Instant boot_now) const;
  // Whether requests need keys at all.
  bool keys_required() const { return keys_.required(); }
  const KeyDirectory& keys() const { return keys_; }

 private:
  // Everything but the cap.
  Decision Check(const Route& route,
                 std::string_view key,
                 const Times& times) const;
  bool NeedsKey(const Route& route) const {
    return keys_.required() && !route.is_public;
  }
  bool IsWithinProof(Instant began) const;

  const Options options_;
  UsageCaps& caps_;
  KeyDirectory keys_;
};

}  // namespace toucanknot

#endif  // INCLUDE_WORKSPACES_ACCESS_CONTROL_H_
