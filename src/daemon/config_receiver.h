#ifndef SRC_DAEMON_CONFIG_RECEIVER_H_
#define SRC_DAEMON_CONFIG_RECEIVER_H_

#include <boost/json/value.hpp>
#include <functional>
#include <mutex>
#include <string>

#include "include/base/clock.h"
#include "include/config/active_config.h"

namespace toucanknot {

// Receives configurations from the store and from peers, validates each and
// applies it if it is newer than the active one. Thread-safe; `apply` is called
// by one thread at a time.
class ConfigReceiver {
 public:
  using Apply = std::function<void(const FleetConfigPtr& config)>;

  explicit ConfigReceiver(Apply apply);

  // Validates `candidate` and applies it if it is newer. `from` is its source:
  // "store" or a host's id. Returns whether it was applied.
  bool Offer(const ConfigCandidate& candidate, const std::string& from);

  // Applies the active configuration again, for the values that depend on time
  // such as exceptions that have ended.
  void Reapply();

  // Whether a configuration with this version and digest is worth fetching.
  bool Wants(uint64_t version, const std::string& digest) const;

  // The active configuration in its transferable form; version 0 before the
  // first.
  ConfigCandidate Current() const;
  // When the active configuration was applied.
  Instant Since() const;
  // The "config" member of /status.
  boost::json::value Status(Instant now) const;

 private:
  const Apply apply_;
  // Held while `apply` runs, so that configurations are applied in order.
  mutable std::mutex mutex_;
  ActiveConfig active_config_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_CONFIG_RECEIVER_H_
