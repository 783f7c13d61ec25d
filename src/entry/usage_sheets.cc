#include "src/entry/usage_sheets.h"

namespace toucanknot {

LoadSheet ToSheet(const UsageReport& report) {
  LoadSheet sheet;
  sheet.host = report.host;
  sheet.incarnation = report.incarnation;
  sheet.sequence = LoadSheet::kNoticeSequence;
  sheet.usage_sequence = report.sequence;
  sheet.usage_covers = report.covers;
  for (const UsageReport::Row& it : report.rows)
    sheet.usages.push_back({it.workspace, it.admitted, it.offered});
  return sheet;
}

std::optional<UsageReport> UsageReportOf(const LoadSheet& sheet) {
  if (sheet.usage_sequence == 0)
    return std::nullopt;
  UsageReport report;
  report.host = sheet.host;
  report.incarnation = sheet.incarnation;
  report.sequence = sheet.usage_sequence;
  report.covers = sheet.usage_covers;
  for (const LoadSheet::Usage& it : sheet.usages)
    report.rows.push_back({it.workspace, it.admitted, it.offered});
  return report;
}

}  // namespace toucanknot
