#ifndef SRC_ENTRY_WORKSPACE_EXPLAIN_H_
#define SRC_ENTRY_WORKSPACE_EXPLAIN_H_

#include <optional>
#include <string>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/limits/usage_caps.h"
#include "include/workspaces/access_control.h"

namespace toucanknot {

// The figures that decide on requests of a workspace, for operators, as JSON:
// the number of its keys, never a key; its cap, its use at all hosts and this
// host's share; and the age of the proof that its keys are current. An unknown
// workspace is null. `proven_at` and `boot_now` are on BootNow()'s clock.
std::string ExplainWorkspace(const WorkspaceId& id,
                             const AccessControl& access,
                             const UsageCaps& caps,
                             std::optional<Instant> proven_at,
                             Instant boot_now,
                             Instant now);

}  // namespace toucanknot

#endif  // SRC_ENTRY_WORKSPACE_EXPLAIN_H_
