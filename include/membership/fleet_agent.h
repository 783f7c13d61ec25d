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

// What a host has to do for its fleet now.
struct FleetActions {
  std::vector<OutgoingMessage> messages;
  // Start this watch at the store and report its end to OnWatch...().
  std::optional<WatchRequest> watch;
  // Ask the platform for its host list and report to OnHostList...().
  bool list_hosts = false;
  // Read these immutable parts from the store and report to OnStorePart().
  std::vector<std::string> part_reads;
};

// Membership, the spread of configuration and that of its parts at one host,
// joined. After any
// call, and at NextWake() at the latest, call Tick() and carry out what it
// returns. Does no I/O; not thread-safe.
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
  // Nothing when the read failed or the store does not have the part.
  void OnStorePart(const std::string& name,
                   const std::optional<std::string>& bytes,
                   Instant now);

  FleetActions Tick(Instant now);
  Instant NextWake() const;

  Membership& membership() { return membership_; }
  const Membership& membership() const { return membership_; }
  const ConfigDissemination& spread() const { return spread_; }
  PartDissemination& parts() { return parts_; }
  // Calls to the store that Tick() has asked for, of all kinds.
  uint64_t store_calls() const;

 private:
  explicit FleetAgent(const Builder& builder);

  Membership membership_;
  ConfigDissemination spread_;
  PartDissemination parts_;
  StoreBackoff list_pacer_;
  bool is_reader_ = false;
};

// What a FleetAgent is made of. The hooks and the host have no default.
class FleetAgent::Builder {
 public:
  Builder& SetSelf(PeerSender self, ZoneId zone);
  Builder& SetMembershipOptions(MembershipOptions options);
  Builder& SetSpreadOptions(ConfigDisseminationOptions options);
  // How often readers ask for the host list.
  Builder& SetHostListPace(StoreBackoffOptions pace);
  Builder& SetHooks(ConfigDissemination::StampFn stamp_of,
                    ConfigDissemination::AcceptFn accept);
  // The immutable parts that this host holds; at first it holds none.
  Builder& SetPartHook(PartDissemination::FindFn find);
  // Makes random choices differ between hosts.
  Builder& SetSeed(uint64_t seed);

  // Throws Error when the host or a hook is missing.
  std::unique_ptr<FleetAgent> Build() const;

 private:
  friend class FleetAgent;

  PeerSender self_;
  ZoneId zone_;
  MembershipOptions membership_options_;
  ConfigDisseminationOptions spread_options_;
  StoreBackoffOptions list_pace_{Duration(10'000)};
  ConfigDissemination::StampFn stamp_of_;
  ConfigDissemination::AcceptFn accept_;
  PartDissemination::FindFn find_part_ = [](const std::string&) {
    return std::nullopt;
  };
  uint64_t seed_ = 1;
};

}  // namespace toucanknot

#endif  // INCLUDE_MEMBERSHIP_FLEET_AGENT_H_
