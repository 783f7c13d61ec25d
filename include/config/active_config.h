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

// Result of offering a configuration to a host.
enum class ConfigOfferResult {
  // The candidate is now in force.
  kAccepted,
  // The candidate is already in force.
  kSame,
  // A higher version is in force.
  kOlder,
  // The candidate has the version in force but a different digest.
  kConflicting,
  // The candidate is invalid; the configuration in force is kept.
  kRejected,
};

inline constexpr EnumNames<ConfigOfferResult, 5> kConfigOfferResultNames{
    {"taken", "same", "older", "conflicting", "refused"}};

// A candidate that this host rejected as invalid or conflicting.
struct RejectedConfig {
  uint64_t version = 0;
  std::string digest;
  // The source of the candidate: "store" or a host's id.
  std::string from;
  std::string reason;
  Instant at;
};

// Set while the store holds an older version than this host.
struct StoreRegression {
  uint64_t store_version = 0;
  Instant since;
};

// The configuration that one host has in force. Accepts only candidates with a
// higher version, a matching digest and valid content, from any source and in
// any order, so that the version in force never goes back. Does no I/O; not
// thread-safe.
class ActiveConfig {
 public:
  // Validates `candidate`, received from `from`, and puts it in force if it is
  // newer than the current configuration.
  ConfigOfferResult Offer(const ConfigCandidate& candidate,
                          const std::string& from,
                          Instant now);

  // Whether Offer() would validate a candidate with this version and digest.
  // Called before the text is fetched.
  bool Wants(uint64_t version, const std::string& digest) const;

  // Records the version that the store holds. A version below the one in
  // force is a regression, which lasts until the store has caught up.
  void OnStoreVersion(uint64_t version, Instant now);

  // Null until the first candidate is accepted.
  const FleetConfigPtr& current() const { return current_; }
  // The candidate in force, to be sent to other hosts; version 0 until the
  // first is accepted.
  const ConfigCandidate& candidate() const { return candidate_; }
  // The text of candidate() in parts, so that other hosts can fetch only the
  // parts they lack.
  const TextParts& parts() const { return parts_; }
  uint64_t version() const { return candidate_.version; }
  // When the current configuration came into force.
  Instant since() const { return since_; }
  // The latest rejected candidates, oldest first, each version and digest
  // once.
  const std::vector<RejectedConfig>& rejected() const { return rejected_; }
  const std::optional<StoreRegression>& regression() const {
    return regression_;
  }

 private:
  bool WasRejected(uint64_t version, const std::string& digest) const;
  void Reject(const ConfigCandidate& candidate,
              const std::string& from,
              std::string reason,
              Instant now);

  FleetConfigPtr current_;
  ConfigCandidate candidate_;
  TextParts parts_;
  Instant since_;
  std::vector<RejectedConfig> rejected_;
  std::optional<StoreRegression> regression_;
};

// The "config" member of a host's /status: version, digest, age_ms, refused,
// and store_version while the store holds an older version.
boost::json::value ActiveConfigStatus(const ActiveConfig& active, Instant now);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_ACTIVE_CONFIG_H_
