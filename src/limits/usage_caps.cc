#include "include/limits/usage_caps.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/unordered/unordered_flat_set.hpp>
#include <cmath>

namespace toucanknot {
namespace {

// Fraction of the tolerance that hosts use. The rest is for reports that are
// lost or late, and for floods that begin at all hosts at once.
constexpr double kToleranceUsed = 0.4;
// Fraction of what a cap leaves that is divided by demand; the rest is divided
// evenly, for hosts whose demand others have not heard of.
constexpr double kByDemand = 0.7;
// A host may admit a single request while the rest is this many times the
// number of requests that all hosts expect before the next reports.
constexpr double kSingleMargin = 2;
// Standard deviations of the arrivals at a host that its part covers.
constexpr double kDeviations = 2.5;
// Requests beyond the expected ones that a part covers at least.
constexpr double kPeakBase = 2;
// Times its usual rate that a workspace may send from one moment to the next.
constexpr double kSurge = 7.5;
constexpr Duration kMinRetryAfter{300};
constexpr Duration kMaxRetryAfter{5'000};
constexpr double kMsPerSecond = 1'000;

}  // namespace

uint32_t WorkspaceKey(const WorkspaceId& id) {
  return XXH32(id.str().data(), id.str().size(), 0);
}

UsageCaps::UsageCaps(const Options& options, Instant now)
    : options_(options), started_at_(now) {}

void UsageCaps::OnConfig(const RouteConfigPtr& config) {
  caps_.clear();
  for (const Workspace& it : config->workspaces) {
    if (it.rate > 0)
      caps_[it.id] = {it.rate, it.burst, WorkspaceKey(it.id)};
  }
  boost::unordered_flat_set<uint32_t> keys;
  for (const auto& [id, cap] : caps_)
    keys.insert(cap.key);
  const auto is_unknown = [&](const auto& it) {
    return !keys.contains(it.first);
  };
  boost::unordered::erase_if(usage_, is_unknown);
  boost::unordered::erase_if(others_, is_unknown);
}

UsageCaps::Usage& UsageCaps::UsageOf(uint32_t key) {
  const auto it = usage_.find(key);
  if (it != usage_.end())
    return it->second;
  return usage_
      .emplace(key, Usage{UsageWindow(options_.window),
                          UsageWindow(options_.window)})
      .first->second;
}

double UsageCaps::AllowedIn(const Cap& cap) const {
  return (cap.rate * options_.window.seconds() + cap.burst) *
             (1 + options_.over * kToleranceUsed) +
         options_.slack * kToleranceUsed;
}

UsageCaps::Figures UsageCaps::FiguresOf(const Cap& cap, Instant now) const {
  Figures out;
  out.allowed = AllowedIn(cap);
  out.heard = heard_;
  out.others = std::max(host_count_ - 1, heard_);
  const double hosts = out.others + 1;
  Others others;
  if (const auto it = others_.find(cap.key); it != others_.end())
    others = it->second;
  double own = 0;
  double own_offered = 0;
  bool left_out = false;
  if (const auto it = usage_.find(cap.key); it != usage_.end()) {
    own = it->second.admitted.Count(now);
    own_offered = it->second.reported_offered;
    left_out = it->second.left_out;
    out.unreported = it->second.admitted.CountWithin(kReportDelay, now);
  }
  const double even_part = out.allowed / hosts;
  const double own_uncounted =
      std::clamp(1 - static_cast<double>((now - started_at_).ms()) /
                         static_cast<double>(options_.window.ms()),
                 0.0, 1.0);
  out.used = own + others.admitted + others.excess_admitted +
             even_part * (out.others - heard_ + uncounted_ + own_uncounted);
  // What is unreported counts towards the part, not as used: the others divide
  // the same rest.
  const double rest = std::max(0.0, out.allowed - (out.used - out.unreported));
  const double offered = own_offered + others.offered;
  const double weight = offered > 0 ? own_offered / offered : 1 / hosts;
  out.part = rest * (kByDemand * weight + (1 - kByDemand) / hosts);
  // Few of the hosts get a request of a small workspace before the next
  // reports, so that even parts of its rest would refuse most of them.
  const double expected =
      offered * kReportDelay.seconds() / options_.window.seconds();
  out.part = std::max(out.part,
                      std::min(1.0, rest / (kSingleMargin * (1 + expected))));
  // Arrivals vary by chance. The part covers that as far as the rest covers it
  // at all hosts, or covers a surge of the workspace.
  const double own_expected = expected * std::max(weight, 1 / hosts);
  const double peak =
      kPeakBase + own_expected + kDeviations * std::sqrt(own_expected);
  const double all_peaks =
      kPeakBase * hosts + expected + kDeviations * std::sqrt(expected * hosts);
  const double surge = std::max(kSurge * (1 + expected), kPeakBase * hosts);
  out.part = std::max(out.part,
                      peak * std::min(1.0, rest / std::min(all_peaks, surge)));
  if (left_out)
    out.part = std::min(out.part, even_part - own + out.unreported);
  out.part = std::clamp(out.part, 0.0,
                        FirstWindowRest(cap, hosts, now) + out.unreported);
  return out;
}

double UsageCaps::FirstWindowRest(const Cap& cap,
                                  double hosts,
                                  Instant now) const {
  const Duration up = now - started_at_;
  if (up >= options_.window)
    return AllowedIn(cap);
  const auto it = usage_.find(cap.key);
  const double own = it == usage_.end() ? 0 : it->second.admitted.Count(now);
  return std::max(0.0, AllowedIn(cap) / hosts * static_cast<double>(up.ms()) /
                               static_cast<double>(options_.window.ms()) -
                           own);
}

double UsageCaps::WholePart(uint32_t key, double part, Instant now) const {
  const uint64_t draw[] = {key,
                           static_cast<uint64_t>(now.ms() / kReportDelay.ms())};
  const uint64_t hash = XXH3_64bits_withSeed(draw, sizeof draw, options_.host);
  const double whole = std::floor(part);
  const bool one_more =
      std::ldexp(static_cast<double>(hash >> 11), -53) < part - whole;
  return whole + (one_more ? 1 : 0);
}

UsageCaps::Admission UsageCaps::Decide(const Cap& cap, Instant now) const {
  const Figures it = FiguresOf(cap, now);
  Admission out;
  if (it.unreported + 1 <= WholePart(cap.key, it.part, now))
    return out;
  out.admitted = false;
  const double excess = std::max(0.0, it.used + 1 - it.allowed);
  // A low rate makes the time exceed what a Duration holds.
  const double excess_ms = std::min(excess / cap.rate * kMsPerSecond,
                                    static_cast<double>(kMaxRetryAfter.ms()));
  out.retry_after =
      std::clamp(kReportDelay + Duration(static_cast<int64_t>(excess_ms)),
                 kMinRetryAfter, kMaxRetryAfter);
  return out;
}

UsageCaps::Admission UsageCaps::Admit(const WorkspaceId& workspace,
                                      Instant now) {
  const auto cap = caps_.find(workspace);
  if (cap == caps_.end())
    return {};
  Usage& usage = UsageOf(cap->second.key);
  usage.offered.Add(1, now);
  const Admission out = Decide(cap->second, now);
  if (out.admitted)
    usage.admitted.Add(1, now);
  return out;
}

UsageCaps::Admission UsageCaps::Preview(const WorkspaceId& workspace,
                                        Instant now) const {
  const auto cap = caps_.find(workspace);
  return cap == caps_.end() ? Admission() : Decide(cap->second, now);
}

void UsageCaps::OnRun(const WorkspaceId& workspace,
                      Instant admitted_at,
                      Instant now) {
  const auto cap = caps_.find(workspace);
  if (cap == caps_.end())
    return;
  UsageWindow& admitted = UsageOf(cap->second.key).admitted;
  admitted.Remove(admitted_at, now);
  admitted.Add(1, now);
}

void UsageCaps::Refund(const WorkspaceId& workspace,
                       Instant counted_at,
                       Instant now) {
  const auto cap = caps_.find(workspace);
  if (cap != caps_.end())
    UsageOf(cap->second.key).admitted.Remove(counted_at, now);
}

UsageReport UsageCaps::MakeReport(Instant now) {
  UsageReport out;
  out.host = options_.host;
  out.incarnation = options_.incarnation;
  out.sequence = ++reports_made_;
  out.covers = std::min(options_.window, now - started_at_);
  // A workspace's requests as a fraction of its cap, highest first.
  std::vector<std::pair<double, UsageReport::Row>> rows;
  for (const auto& [id, cap] : caps_) {
    const auto it = usage_.find(cap.key);
    if (it == usage_.end())
      continue;
    Usage& usage = it->second;
    usage.left_out = false;
    const int offered = usage.offered.Count(now);
    // A report takes effect at this host when the next one is made: by then the
    // others have reported a rise of the same moment, too.
    usage.reported_offered = std::min(offered, usage.last_offered);
    usage.last_offered = offered;
    if (offered == 0 && usage.admitted.Count(now) <= 0) {
      usage_.erase(it);
      continue;
    }
    rows.push_back(
        {offered / AllowedIn(cap),
         {cap.key, std::max(0, usage.admitted.Count(now)), offered}});
  }
  if (rows.size() > kMaxRows) {
    std::nth_element(
        rows.begin(), rows.begin() + kMaxRows, rows.end(),
        [](const auto& a, const auto& b) { return a.first > b.first; });
    for (size_t i = kMaxRows; i < rows.size(); ++i)
      usage_.at(rows[i].second.workspace).left_out = true;
    rows.resize(kMaxRows);
  }
  for (const auto& [used, row] : rows)
    out.rows.push_back(row);
  return out;
}

void UsageCaps::OnReport(const UsageReport& report, Instant now) {
  Peer& peer = peers_[report.host];
  const bool older = report.incarnation < peer.incarnation ||
                     (report.incarnation == peer.incarnation &&
                      report.sequence <= peer.sequence);
  if (older && IsFresh(peer, now))
    return;
  if (peer.incarnation != 0 && report.incarnation != peer.incarnation) {
    if (now >= peer.former_until)
      peer.former_rows.clear();
    for (const auto& [key, row] : peer.rows) {
      UsageReport::Row& former = peer.former_rows[key];
      former.admitted += row.admitted;
    }
    peer.former_until = now + options_.window;
  }
  peer.incarnation = report.incarnation;
  peer.sequence = report.sequence;
  peer.at = now;
  peer.covers = std::clamp(report.covers, Duration(0), options_.window);
  peer.rows.clear();
  for (const UsageReport::Row& it : report.rows)
    peer.rows[it.workspace] = it;
}

void UsageCaps::Tick(Instant now) {
  // The runs of the last report have left the window by then; a host that is
  // still listed counts with an even part.
  boost::unordered::erase_if(peers_, [&](const auto& it) {
    return now - it.second.at > options_.window &&
           now >= it.second.former_until;
  });
  others_.clear();
  heard_ = 0;
  uncounted_ = 0;
  const double hosts = std::max(host_count_, 1);
  for (const auto& [host, peer] : peers_) {
    const bool fresh = IsFresh(peer, now);
    if (fresh) {
      ++heard_;
    }
    const bool has_former = now < peer.former_until;
    if (has_former) {
      for (const auto& [key, row] : peer.former_rows)
        others_[key].admitted += row.admitted;
    } else if (fresh) {
      uncounted_ += 1 - static_cast<double>(peer.covers.ms()) /
                            static_cast<double>(options_.window.ms());
    }
    if (now - peer.at > options_.window)
      continue;
    for (const auto& [key, row] : peer.rows) {
      Others& it = others_[key];
      if (fresh) {
        it.admitted += row.admitted;
        it.offered += row.offered;
      } else {
        it.excess_admitted += row.admitted;
      }
    }
  }
  for (const auto& [id, cap] : caps_) {
    const auto it = others_.find(cap.key);
    if (it == others_.end() || it->second.excess_admitted <= 0)
      continue;
    const double silent = std::max(0.0, hosts - 1 - heard_);
    it->second.excess_admitted = std::max(
        0.0, it->second.excess_admitted - AllowedIn(cap) / hosts * silent);
  }
}

UsageCaps::Figures UsageCaps::FiguresOf(const WorkspaceId& workspace,
                                        Instant now) const {
  const auto cap = caps_.find(workspace);
  return cap == caps_.end() ? Figures() : FiguresOf(cap->second, now);
}

}  // namespace toucanknot
