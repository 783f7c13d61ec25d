#include "include/config/active_config.h"

#include <algorithm>
#include <boost/json/value.hpp>
#include <utility>

#include "include/base/error.h"

namespace toucanknot {
namespace {

constexpr size_t kMaxRejected = 8;
constexpr size_t kMaxReasonBytes = 2000;

}  // namespace

ConfigOfferResult ActiveConfig::Offer(const ConfigCandidate& candidate,
                                      const std::string& from,
                                      Instant now) {
  if (candidate.version < candidate_.version || candidate.version == 0)
    return ConfigOfferResult::kOlder;
  if (candidate.version == candidate_.version) {
    if (candidate.digest == candidate_.digest)
      return ConfigOfferResult::kSame;
    Reject(candidate, from,
           "digest differs from that of the same version in force", now);
    return ConfigOfferResult::kConflicting;
  }
  if (WasRejected(candidate.version, candidate.digest))
    return ConfigOfferResult::kRejected;
  try {
    current_ = CheckConfigCandidate(candidate);
  } catch (const InvalidConfigError& e) {
    Reject(candidate, from, e.what(), now);
    return ConfigOfferResult::kRejected;
  }
  candidate_ = candidate;
  parts_ = TextParts(candidate.text);
  since_ = now;
  return ConfigOfferResult::kAccepted;
}

bool ActiveConfig::Wants(uint64_t version, const std::string& digest) const {
  return version > candidate_.version && !WasRejected(version, digest);
}

void ActiveConfig::OnStoreVersion(uint64_t version, Instant now) {
  if (version >= candidate_.version)
    regression_.reset();
  else if (!regression_)
    regression_ = {version, now};
  else
    regression_->store_version = version;
}

bool ActiveConfig::WasRejected(uint64_t version,
                               const std::string& digest) const {
  return std::any_of(rejected_.begin(), rejected_.end(),
                     [&](const RejectedConfig& it) {
                       return it.version == version && it.digest == digest;
                     });
}

void ActiveConfig::Reject(const ConfigCandidate& candidate,
                          const std::string& from,
                          std::string reason,
                          Instant now) {
  if (WasRejected(candidate.version, candidate.digest))
    return;
  if (rejected_.size() == kMaxRejected)
    rejected_.erase(rejected_.begin());
  if (reason.size() > kMaxReasonBytes)
    reason.resize(kMaxReasonBytes);
  rejected_.push_back(
      {candidate.version, candidate.digest, from, std::move(reason), now});
}

boost::json::value ActiveConfigStatus(const ActiveConfig& active, Instant now) {
  boost::json::array rejected;
  for (const RejectedConfig& it : active.rejected()) {
    rejected.push_back(boost::json::object{{"version", it.version},
                                           {"digest", it.digest},
                                           {"from", it.from},
                                           {"reason", it.reason},
                                           {"age_ms", (now - it.at).ms()}});
  }
  boost::json::object out{{"version", active.version()},
                          {"digest", active.candidate().digest},
                          {"age_ms", (now - active.since()).ms()},
                          {"refused", std::move(rejected)}};
  if (active.regression())
    out["store_version"] = active.regression()->store_version;
  return out;
}

}  // namespace toucanknot
