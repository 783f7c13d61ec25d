#ifndef INCLUDE_CONFIG_ACTIVE_CONFIG_H_
#define INCLUDE_CONFIG_ACTIVE_CONFIG_H_

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/config/config_candidate.h"
#include "include/config/fleet_config.h"
#include "include/config/text_parts.h"

namespace toucanknot {

// What became of a configuration that was offered to a host.
enum class ConfigOfferResult {
  // It is in force now.
  kTaken,
  // It is the one in force.
  kSame,
  // A higher version is in force.
  kOlder,
  // The version in force was offered with another digest.
  kConflicting,
  // It is not valid; the one in force stays.
  kRefused,
};

inline constexpr EnumNames<ConfigOfferResult, 5> kConfigOfferResultNames{
    {"taken", "same", "older", "conflicting", "refused"}};

// A configuration that this host did not take though it should have been one.
struct RejectedConfig {
  uint64_t version = 0;
  std::string digest;
  // Who offered it: "store" or a host's id.
  std::string from;
  std::string reason;
  Instant at;
};

// The store holds an older version than this host.
struct StoreRegression {
  uint64_t store_version = 0;
  Instant since;
};

// The configuration that one host has in force. Takes only higher versions
// that are valid and have their digest, whoever offers them and in whatever
// order, so that what is in force never reverts. Does no I/O; not thread-safe.
class ActiveConfig {
 public:
  // Considers `offer`, which came from `from`.
  ConfigOfferResult Offer(const ConfigCandidate& offer,
                          const std::string& from,
                          Instant now);

  // Whether Offer() would read a configuration with this version and digest;
  // asked before its text is fetched.
  bool Wants(uint64_t version, const std::string& digest) const;

  // Takes note of the version that the store holds. One below that in force
  // is a regression, until the store has caught up.
  void OnStoreVersion(uint64_t version, Instant now);

  // Null before the first one was taken.
  const FleetConfigPtr& current() const { return current_; }
  // What to offer to others; version 0 before the first.
  const ConfigCandidate& offer() const { return offer_; }
  // The text of offer() in parts, for who asks only for what it lacks.
  const TextParts& parts() const { return parts_; }
  uint64_t version() const { return offer_.version; }
  // Since when it is in force.
  Instant since() const { return since_; }
  // The latest refusals, oldest first, each version and digest once.
  const std::vector<RejectedConfig>& refused() const { return refused_; }
  const std::optional<StoreRegression>& regression() const {
    return regression_;
  }

 private:
  bool WasRefused(uint64_t version, const std::string& digest) const;
  void Refuse(const ConfigCandidate& offer,
              const std::string& from,
              std::string reason,
              Instant now);

  FleetConfigPtr current_;
  ConfigCandidate offer_;
  TextParts parts_;
  Instant since_;
  std::vector<RejectedConfig> refused_;
  std::optional<StoreRegression> regression_;
};

// The "config" member of a host's /status: version, digest, age_ms, refused,
// and store_version when the store holds an older one.
boost::json::value HolderStatus(const ActiveConfig& holder, Instant now);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_ACTIVE_CONFIG_H_
