#ifndef INCLUDE_PEER_MESSAGES_H_
#define INCLUDE_PEER_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/ids.h"
#include "include/health/quarantine.h"
#include "include/health/server_health.h"
#include "include/once/ticket_table.h"

namespace toucanknot {

// The messages between entry hosts. Every field has a default, so that messages
// of other releases, which may lack some fields, can be read.

// Lifecycle state of a host. Within one incarnation it only moves forward.
enum class HostState { kStarting, kServing, kLeaving, kStopped };

inline constexpr EnumNames<HostState, 4> kHostStateNames{
    {"starting", "serving", "leaving", "stopped"}};

// Identifies a configuration without its content.
struct ConfigStamp {
  uint64_t version = 0;
  // A prefix of the configuration's digest, long enough to distinguish
  // configurations with the same version.
  std::string digest;

  // The linter mistakes the 0 in a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ConfigStamp&) const = default;
};

// Requests that one host has in flight at a backend server.
struct ServerInFlight {
  ServerId server;
  int32_t requests = 0;

  bool operator==(const ServerInFlight&) const = default;
};

// Periodic sign of life with the state that the hosts of a zone share.
struct Heartbeat {
  ZoneId zone;
  // Increases with every heartbeat of an incarnation.
  uint64_t sequence = 0;
  HostState state = HostState::kStarting;
  ConfigStamp config;
  // Slots at backend servers that the sender can reach and use.
  int64_t capacity = 0;
  // Requests in flight at all backend servers.
  int64_t in_flight_total = 0;
  // Requests in flight by server; empty where heartbeats are too infrequent for
  // the figures to be useful.
  std::vector<ServerInFlight> in_flight;
  // Age of `in_flight` when it was sent.
  Duration in_flight_age;
  // Hosts of the zone that are missing from the platform's host list, as read
  // by the sender, or leaving according to it.
  std::vector<HostId> unlisted;

  bool operator==(const Heartbeat&) const = default;
};

// Summary of a zone for the other zones.
struct ZoneDigest {
  ZoneId zone;
  // Time since it was created, not including the transmission time.
  Duration age;
  int32_t live_hosts = 0;
  int64_t capacity = 0;
  int64_t in_flight = 0;
  // The newest configuration in force at any host of the zone.
  ConfigStamp config;
  // Configured hosts that callers must not be directed to: hosts that are dead,
  // leaving or not yet serving.
  std::vector<HostId> excluded;

  bool operator==(const ZoneDigest&) const = default;
};

struct ZoneDigests {
  std::vector<ZoneDigest> zones;
  // Increases with every bundle that the original sender creates. Determines
  // the order of the hosts of a zone in which the bundle is relayed.
  uint64_t round = 0;

  bool operator==(const ZoneDigests&) const = default;
};

// The sender is leaving (kLeaving) or has stopped (kStopped).
struct LeavingNotice {
  HostState state = HostState::kLeaving;

  bool operator==(const LeavingNotice&) const = default;
};

// Announces the sender's configuration. The receiver responds with ConfigPush
// if it has a newer one and with ConfigAsk if it has an older one.
struct ConfigCompare {
  ConfigStamp have;

  bool operator==(const ConfigCompare&) const = default;
};

// Requests a configuration newer than `have`.
struct ConfigAsk {
  ConfigStamp have;

  bool operator==(const ConfigAsk&) const = default;
};

// Sends the text of a configuration.
struct ConfigPush {
  ConfigStamp stamp;
  std::string text;

  bool operator==(const ConfigPush&) const = default;
};

// Requests an immutable part of the configuration by its digest.
struct PartAsk {
  std::string digest;

  bool operator==(const PartAsk&) const = default;
};

// Response to PartAsk.
struct PartGive {
  std::string digest;
  // Whether the sender has the part; `data` is empty otherwise.
  bool found = false;
  std::string data;

  bool operator==(const PartGive&) const = default;
};

// Requests in flight and free slots of one host by service; see PeerLoad.
struct LoadNotice {
  struct ServiceLoad {
    ServiceId service;
    std::vector<ServerInFlight> in_flight;
    int32_t waiting = 0;
    int32_t free_slots = 0;
    int32_t slots = 0;

    bool operator==(const ServiceLoad&) const = default;
  };
  std::vector<ServiceLoad> services;

  bool operator==(const LoadNotice&) const = default;
};

// Requests of a service that crash backend servers. The notices' sender is the
// sender of the envelope.
struct CrashNotices {
  ServiceId service;
  std::vector<CrashNotice> notices;

  bool operator==(const CrashNotices&) const = default;
};

// Backend servers that the sender has ejected or knows to be leaving.
struct ServerViews {
  ServiceId service;
  std::vector<ServerView> views;

  bool operator==(const ServerViews&) const = default;
};

using PeerMessage = std::variant<Heartbeat,
                                 ZoneDigests,
                                 LeavingNotice,
                                 ConfigCompare,
                                 ConfigAsk,
                                 ConfigPush,
                                 PartAsk,
                                 PartGive,
                                 LoadNotice,
                                 CrashNotices,
                                 ServerViews,
                                 TicketHandoff>;

// The sender of a message. Authenticated by the fleet key and not by a key of
// the host: a holder of the fleet key can impersonate every host.
struct PeerSender {
  HostId host;
  Incarnation incarnation = 0;

  bool operator==(const PeerSender&) const = default;
};

// A message to one or more hosts.
struct OutgoingMessage {
  std::vector<HostId> to;
  PeerMessage message;
};

}  // namespace toucanknot

#endif  // INCLUDE_PEER_MESSAGES_H_
