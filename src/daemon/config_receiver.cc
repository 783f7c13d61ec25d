#include "src/daemon/config_receiver.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace toucanknot {

ConfigReceiver::ConfigReceiver(Apply apply) : apply_(std::move(apply)) {}

bool ConfigReceiver::Offer(const ConfigCandidate& candidate,
                           const std::string& from) {
  const std::lock_guard lock(mutex_);
  const Instant now = SteadyNow();
  if (from == "store")
    active_config_.OnStoreVersion(candidate.version, now);
  const ConfigOfferResult outcome = active_config_.Offer(candidate, from, now);
  if (outcome == ConfigOfferResult::kAccepted) {
    apply_(active_config_.current());
    return true;
  }
  if (outcome == ConfigOfferResult::kRejected ||
      outcome == ConfigOfferResult::kConflicting) {
    spdlog::warn("config rejected version={} from={} outcome={}",
                 candidate.version, from,
                 kConfigOfferResultNames.Name(outcome));
  }
  return false;
}

void ConfigReceiver::Reapply() {
  const std::lock_guard lock(mutex_);
  if (active_config_.current())
    apply_(active_config_.current());
}

bool ConfigReceiver::Wants(uint64_t version, const std::string& digest) const {
  const std::lock_guard lock(mutex_);
  return active_config_.Wants(version, digest);
}

ConfigCandidate ConfigReceiver::Current() const {
  const std::lock_guard lock(mutex_);
  return active_config_.candidate();
}

Instant ConfigReceiver::Since() const {
  const std::lock_guard lock(mutex_);
  return active_config_.since();
}

boost::json::value ConfigReceiver::Status(Instant now) const {
  const std::lock_guard lock(mutex_);
  return ActiveConfigStatus(active_config_, now);
}

}  // namespace toucanknot
