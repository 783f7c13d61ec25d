#include "include/placing/server_limits.h"

#include <algorithm>
#include <utility>

namespace toucanknot {

void ServerLimits::OnNotice(uint32_t server,
                            const ServerNotice& notice,
                            Instant sent_at,
                            Instant now) {
  if (notice.pause)
    Pause(server, now + *notice.pause);
  const auto it = records_.find(server);
  if (notice.limit_malformed || (it == records_.end() && !notice.limit))
    return;
  // A response without a limit may have crossed one that names it.
  if (!notice.limit && (!it->second.limit || sent_at <= it->second.at))
    return;
  if (it == records_.end() && records_.size() >= kMaxServers)
    Evict();
  Record& record = records_[server];
  news_ = news_ || record.limit != notice.limit;
  record = {notice.limit, now, now};
}

void ServerLimits::Pause(uint32_t server, Instant until) {
  if (pauses_.size() >= kMaxServers && !pauses_.contains(server)) {
    pauses_.erase(std::min_element(
        pauses_.begin(), pauses_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  Instant& paused_until = pauses_[server];
  paused_until = std::max(paused_until, until);
}

Instant ServerLimits::PausedUntil(uint32_t server) const {
  const auto it = pauses_.find(server);
  return it == pauses_.end() ? Instant() : it->second;
}

void ServerLimits::OnReport(const Statement& statement) {
  const auto it = records_.find(statement.server);
  if (it == records_.end()) {
    if (!statement.limit)
      return;
    if (records_.size() >= kMaxServers)
      Evict();
  } else if (statement.at <= it->second.at) {
    return;
  }
  Record& record = records_[statement.server];
  record.limit = statement.limit;
  record.at = statement.at;
}

void ServerLimits::Evict() {
  records_.erase(std::min_element(
      records_.begin(), records_.end(),
      [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
}

std::optional<double> ServerLimits::LimitOf(uint32_t server) const {
  const auto it = records_.find(server);
  return it == records_.end() ? std::nullopt : it->second.limit;
}

std::optional<Instant> ServerLimits::HeardAt(uint32_t server) const {
  const auto it = records_.find(server);
  if (it == records_.end())
    return std::nullopt;
  return it->second.at;
}

std::vector<ServerLimits::Statement> ServerLimits::OwnStatements(
    Instant now) const {
  std::vector<Statement> out;
  for (const auto& [server, it] : records_) {
    if (it.own_at && now - *it.own_at <= kReportFor)
      out.push_back({server, it.limit, it.at});
  }
  if (out.size() > kMaxReported) {
    std::nth_element(
        out.begin(), out.begin() + kMaxReported, out.end(),
        [](const Statement& a, const Statement& b) { return a.at > b.at; });
    out.resize(kMaxReported);
  }
  return out;
}

bool ServerLimits::TakeNews() {
  return std::exchange(news_, false);
}

}  // namespace toucanknot
