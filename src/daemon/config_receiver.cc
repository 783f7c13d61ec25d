#include "src/daemon/config_receiver.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace toucanknot {

ConfigReceiver::ConfigReceiver(Apply apply) : apply_(std::move(apply)) {}

bool ConfigReceiver::Offer(const ConfigCandidate& offer,
                           const std::string& from) {
  const std::lock_guard lock(mutex_);
  const Instant now = SteadyNow();
  if (from == "store")
    holder_.OnStoreVersion(offer.version, now);
  const ConfigOfferResult outcome = holder_.Offer(offer, from, now);
  if (outcome == ConfigOfferResult::kAccepted) {
    apply_(holder_.current());
    return true;
  }
  if (outcome == ConfigOfferResult::kRejected ||
      outcome == ConfigOfferResult::kConflicting) {
    spdlog::warn("config not taken version={} from={} outcome={}",
                 offer.version, from, kConfigOfferResultNames.Name(outcome));
  }
  return false;
}

void ConfigReceiver::Reapply() {
  const std::lock_guard lock(mutex_);
  if (holder_.current())
    apply_(holder_.current());
}

bool ConfigReceiver::Wants(uint64_t version, const std::string& digest) const {
  const std::lock_guard lock(mutex_);
  return holder_.Wants(version, digest);
}

ConfigCandidate ConfigReceiver::Current() const {
  const std::lock_guard lock(mutex_);
  return holder_.candidate();
}

Instant ConfigReceiver::Since() const {
  const std::lock_guard lock(mutex_);
  return holder_.since();
}

boost::json::value ConfigReceiver::Status(Instant now) const {
  const std::lock_guard lock(mutex_);
  return ActiveConfigStatus(holder_, now);
}

}  // namespace toucanknot
