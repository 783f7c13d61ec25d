#ifndef SRC_ENTRY_USAGE_SHEETS_H_
#define SRC_ENTRY_USAGE_SHEETS_H_

#include <optional>

#include "include/limits/usage_caps.h"
#include "include/placing/peer_loads.h"

namespace toucanknot {

// Usage reports travel between hosts as load sheets that hold nothing else.
LoadSheet ToSheet(const UsageReport& report);
// Nothing if the sheet has no usage report.
std::optional<UsageReport> UsageReportOf(const LoadSheet& sheet);

}  // namespace toucanknot

#endif  // SRC_ENTRY_USAGE_SHEETS_H_
