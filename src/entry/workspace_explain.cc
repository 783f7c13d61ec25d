#include "src/entry/workspace_explain.h"

#include <boost/json.hpp>

namespace toucanknot {

std::string ExplainWorkspace(const WorkspaceId& id,
                             const AccessControl& access,
                             const UsageCaps& caps,
                             std::optional<Instant> proven_at,
                             Instant boot_now,
                             Instant now) {
  boost::json::object out{{"workspace", nullptr},
                          {"proven", access.IsProven(boot_now)},
                          {"proof_age_ms", nullptr}};
  if (proven_at)
    out["proof_age_ms"] = (boot_now - *proven_at).ms();
  const WorkspacePtr workspace = access.keys().FindById(id);
  if (!workspace)
    return boost::json::serialize(out);
  out["workspace"] = id.str();
  out["keys"] = workspace->api_keys.size();
  if (workspace->priority)
    out["priority"] = *workspace->priority;
  boost::json::array regions;
  for (const RegionId& it : workspace->allowed_regions)
    regions.push_back(boost::json::value(it.str()));
  out["allowed_regions"] = std::move(regions);
  if (workspace->rate <= 0)
    return boost::json::serialize(out);
  const UsageCaps::Figures figures = caps.FiguresOf(id, now);
  out["rate"] = workspace->rate;
  out["burst"] = workspace->burst;
  out["allowed"] = figures.allowed;
  out["used"] = figures.used;
  out["share"] = figures.part;
  out["unreported"] = figures.unreported;
  out["heard"] = figures.heard;
  out["others"] = figures.others;
  return boost::json::serialize(out);
}

}  // namespace toucanknot
