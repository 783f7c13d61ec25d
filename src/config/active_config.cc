#include "include/config/active_config.h"

#include <algorithm>
#include <boost/json/value.hpp>
#include <utility>

#include "include/base/error.h"

namespace toucanknot {
namespace {

constexpr size_t kMaxRefused = 8;
constexpr size_t kMaxReasonBytes = 2000;

}  // namespace

ConfigOfferResult ActiveConfig::Offer(const ConfigCandidate& offer,
                                      const std::string& from,
                                      Instant now) {
  if (offer.version < offer_.version || offer.version == 0)
    return ConfigOfferResult::kOlder;
  if (offer.version == offer_.version) {
    if (offer.digest == offer_.digest)
      return ConfigOfferResult::kSame;
    Refuse(offer, from, "digest differs from that of the same version in force",
           now);
    return ConfigOfferResult::kConflicting;
  }
  if (WasRefused(offer.version, offer.digest))
    return ConfigOfferResult::kRefused;
  try {
    current_ = CheckConfigCandidate(offer);
  } catch (const InvalidConfigError& e) {
    Refuse(offer, from, e.what(), now);
    return ConfigOfferResult::kRefused;
  }
  offer_ = offer;
  parts_ = TextParts(offer.text);
  since_ = now;
  return ConfigOfferResult::kTaken;
}

bool ActiveConfig::Wants(uint64_t version, const std::string& digest) const {
  return version > offer_.version && !WasRefused(version, digest);
}

void ActiveConfig::OnStoreVersion(uint64_t version, Instant now) {
  if (version >= offer_.version)
    regression_.reset();
  else if (!regression_)
    regression_ = {version, now};
  else
    regression_->store_version = version;
}

bool ActiveConfig::WasRefused(uint64_t version,
                              const std::string& digest) const {
  return std::any_of(refused_.begin(), refused_.end(),
                     [&](const RejectedConfig& it) {
                       return it.version == version && it.digest == digest;
                     });
}

void ActiveConfig::Refuse(const ConfigCandidate& offer,
                          const std::string& from,
                          std::string reason,
                          Instant now) {
  if (WasRefused(offer.version, offer.digest))
    return;
  if (refused_.size() == kMaxRefused)
    refused_.erase(refused_.begin());
  if (reason.size() > kMaxReasonBytes)
    reason.resize(kMaxReasonBytes);
  refused_.push_back(
      {offer.version, offer.digest, from, std::move(reason), now});
}

boost::json::value HolderStatus(const ActiveConfig& holder, Instant now) {
  boost::json::array refused;
  for (const RejectedConfig& it : holder.refused()) {
    refused.push_back(boost::json::object{{"version", it.version},
                                          {"digest", it.digest},
                                          {"from", it.from},
                                          {"reason", it.reason},
                                          {"age_ms", (now - it.at).ms()}});
  }
  boost::json::object out{{"version", holder.version()},
                          {"digest", holder.offer().digest},
                          {"age_ms", (now - holder.since()).ms()},
                          {"refused", std::move(refused)}};
  if (holder.regression())
    out["store_version"] = holder.regression()->store_version;
  return out;
}

}  // namespace toucanknot
