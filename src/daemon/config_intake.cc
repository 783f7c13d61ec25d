#include "src/daemon/config_intake.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace toucanknot {

ConfigIntake::ConfigIntake(Apply apply) : apply_(std::move(apply)) {}

bool ConfigIntake::Offer(const ConfigOffer& offer, const std::string& from) {
  const std::lock_guard lock(mutex_);
  const Instant now = SteadyNow();
  if (from == "store")
    holder_.OnStoreVersion(offer.version, now);
  const OfferOutcome outcome = holder_.Offer(offer, from, now);
  if (outcome == OfferOutcome::kTaken) {
    apply_(holder_.current());
    return true;
  }
  if (outcome == OfferOutcome::kRefused ||
      outcome == OfferOutcome::kConflicting) {
    spdlog::warn("config not taken version={} from={} outcome={}",
                 offer.version, from, kOfferOutcomeNames.Name(outcome));
  }
  return false;
}

void ConfigIntake::Reapply() {
  const std::lock_guard lock(mutex_);
  if (holder_.current())
    apply_(holder_.current());
}

bool ConfigIntake::Wants(uint64_t version, const std::string& digest) const {
  const std::lock_guard lock(mutex_);
  return holder_.Wants(version, digest);
}

ConfigOffer ConfigIntake::Current() const {
  const std::lock_guard lock(mutex_);
  return holder_.offer();
}

Instant ConfigIntake::Since() const {
  const std::lock_guard lock(mutex_);
  return holder_.since();
}

boost::json::value ConfigIntake::Status(Instant now) const {
  const std::lock_guard lock(mutex_);
  return HolderStatus(holder_, now);
}

}  // namespace toucanknot
