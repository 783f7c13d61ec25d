#ifndef SRC_DAEMON_CONFIG_RECEIVER_H_
#define SRC_DAEMON_CONFIG_RECEIVER_H_

#include <boost/json/value.hpp>
#include <functional>
#include <mutex>
#include <string>

#include "include/base/clock.h"
#include "include/config/active_config.h"

namespace toucanknot {

// Takes configurations from wherever they come, checks each and brings it into
// force if it is newer. Thread-safe; `apply` is called by one thread at a time.
class ConfigReceiver {
 public:
  using Apply = std::function<void(const FleetConfigPtr& config)>;

  explicit ConfigReceiver(Apply apply);

  // `from` says who offers it: "store" or a host's id. Returns whether it came
  // into force.
  bool Offer(const ConfigCandidate& offer, const std::string& from);

  // Brings what is in force into force again, for what has changed with time.
  void Reapply();

  // Whether a configuration with this version and digest would be read.
  bool Wants(uint64_t version, const std::string& digest) const;

  // What is in force, to be offered to others; version 0 before the first.
  ConfigCandidate Current() const;
  // When it came into force.
  Instant Since() const;
  // The "config" member of /status.
  boost::json::value Status(Instant now) const;

 private:
  const Apply apply_;
  // Held while `apply` runs, so that configurations come into force in order.
  mutable std::mutex mutex_;
  ActiveConfig holder_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_CONFIG_RECEIVER_H_
