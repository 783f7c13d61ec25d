#ifndef INCLUDE_MEMBERSHIP_FLEET_AGENT_H_
#define INCLUDE_MEMBERSHIP_FLEET_AGENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "include/membership/config_dissemination.h"
#include "include/membership/membership.h"
#include "include/membership/part_dissemination.h"
#include "include/membership/store_backoff.h"

namespace toucanknot {

// The actions that a host must carry out now.
struct FleetActions {
  std::vector<OutgoingMessage> messages;
  // Start this watch at the store and report its end to OnWatch...().
  std::optional<WatchRequest> watch;
  // Request the host list from the platform and report it to OnHostList...().
  bool list_hosts = false;
  // Read these immutable parts from the store and report to OnStorePart().
  std::vector<std::string> part_reads;
};

// Combines membership and the dissemination of the configuration and its parts
// at one host. After any call, and no later than NextWake(), call Tick() and
// carry out the actions it returns. Does no I/O; not thread-safe.
class FleetAgent {
 public:
  class Builder;

  void OnRoster(RosterPtr roster, Instant now);
  void OnMessage(const PeerSender& from,
                 const PeerMessage& message,
                 Instant now);

  void OnWatchValue(uint64_t revision, const std::string& text, Instant now);
  void OnWatchTimeout(Instant now);
  void OnWatchFailure(Instant now);
  void OnHostList(const std::vector<HostListEntry>& list, Instant now);
  void OnHostListFailure(Instant now);
  // `bytes` is empty when the read failed or the store does not have the part.
  void OnStorePart(const std::string& name,
                   const std::optional<std::string>& bytes,
                   Instant now);

  FleetActions Tick(Instant now);
  Instant NextWake() const;

  Membership& membership() { return membership_; }
  const Membership& membership() const { return membership_; }
  const ConfigDissemination& dissemination() const { return dissemination_; }
  PartDissemination& parts() { return parts_; }
  // Calls of all kinds to the store that Tick() has requested.
  uint64_t store_calls() const;

 private:
  explicit FleetAgent(const Builder& builder);

  Membership membership_;
  ConfigDissemination dissemination_;
  PartDissemination parts_;
  StoreBackoff list_backoff_;
  bool is_reader_ = false;
};

// Builds a FleetAgent. The hooks and the host have no default.
class FleetAgent::Builder {
 public:
  Builder& SetSelf(PeerSender self, ZoneId zone);
  Builder& SetMembershipOptions(MembershipOptions options);
  Builder& SetDisseminationOptions(ConfigDisseminationOptions options);
  // How often readers request the host list.
  Builder& SetHostListBackoff(StoreBackoffOptions options);
  Builder& SetHooks(ConfigDissemination::StampFn stamp_of,
                    ConfigDissemination::AcceptFn accept);
  // Finds the immutable parts that this host holds; by default it holds none.
  Builder& SetPartHook(PartDissemination::FindFn find);
  // The seed of random choices; should differ between hosts.
  Builder& SetSeed(uint64_t seed);

  // Throws Error when the host or a hook is missing.
  std::unique_ptr<FleetAgent> Build() const;

 private:
  friend class FleetAgent;

  PeerSender self_;
  ZoneId zone_;
  MembershipOptions membership_options_;
  ConfigDisseminationOptions dissemination_options_;
  StoreBackoffOptions list_backoff_options_{Duration(10'000)};
  ConfigDissemination::StampFn stamp_of_;
  ConfigDissemination::AcceptFn accept_;
  PartDissemination::FindFn find_part_ = [](const std::string&) {
    return std::nullopt;
  };
  uint64_t seed_ = 1;
};

}  // namespace toucanknot

#endif  // INCLUDE_MEMBERSHIP_FLEET_AGENT_H_
