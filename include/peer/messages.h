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

namespace toucanknot {

// The messages that entry hosts send each other. Every field has a default, so
// that a message of another release, which lacks some, can be read.

// Where a host is in its life. Within one incarnation it only goes forward.
enum class HostState { kStarting, kServing, kLeaving, kStopped };

inline constexpr EnumNames<HostState, 4> kHostStateNames{
    {"starting", "serving", "leaving", "stopped"}};

// Names a configuration without carrying it.
struct ConfigStamp {
  uint64_t version = 0;
  // The first characters of the configuration's digest, enough to tell two
  // configurations of one version apart.
  std::string digest;

  // The linter takes the 0 in a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ConfigStamp&) const = default;
};

// Requests that one host has in flight at a backend server.
struct ServerInFlight {
  ServerId server;
  int32_t requests = 0;

  bool operator==(const ServerInFlight&) const = default;
};

// "I live", with what the hosts of a zone know of each other.
struct Heartbeat {
  ZoneId zone;
  // Grows with every heartbeat of an incarnation.
  uint64_t sequence = 0;
  HostState state = HostState::kStarting;
  ConfigStamp config;
  // Slots of backend servers that this host can reach and use.
  int64_t capacity = 0;
  // Requests in flight at all backend servers.
  int64_t in_flight_total = 0;
  // The same by server; empty where heartbeats are too rare for it to be of
  // use.
  std::vector<ServerInFlight> in_flight;
  // How old `in_flight` was when it was sent.
  Duration in_flight_age;
  // Hosts of the zone that the platform's host list, seen by the sender,
  // lacks or shows as leaving.
  std::vector<HostId> unlisted;

  bool operator==(const Heartbeat&) const = default;
};

// What other zones know of a zone.
struct ZoneDigest {
  ZoneId zone;
  // Time since it was made, without the time on the way.
  Duration age;
  int32_t live_hosts = 0;
  int64_t capacity = 0;
  int64_t in_flight = 0;
  // The highest configuration in force at a host of the zone.
  ConfigStamp config;
  // Hosts of the configuration that callers must not be sent to: dead ones,
  // leaving ones, and those that have not begun to serve.
  std::vector<HostId> excluded;

  bool operator==(const ZoneDigest&) const = default;
};

struct ZoneDigests {
  std::vector<ZoneDigest> zones;
  // Grows with every bundle that the first sender makes; orders the hosts of a
  // zone for passing the bundle on.
  uint64_t round = 0;

  bool operator==(const ZoneDigests&) const = default;
};

// The sender leaves (kLeaving) or has stopped (kStopped).
struct LeavingNotice {
  HostState state = HostState::kLeaving;

  bool operator==(const LeavingNotice&) const = default;
};

// "This is what I have": the receiver answers with ConfigPush if it has a
// newer one and with ConfigAsk if it has an older one.
struct ConfigCompare {
  ConfigStamp have;

  bool operator==(const ConfigCompare&) const = default;
};

// Asks for a configuration newer than `have`.
struct ConfigAsk {
  ConfigStamp have;

  bool operator==(const ConfigAsk&) const = default;
};

// A configuration's text.
struct ConfigPush {
  ConfigStamp stamp;
  std::string text;

  bool operator==(const ConfigPush&) const = default;
};

// Asks for an immutable part of the configuration by its digest.
struct PartAsk {
  std::string digest;

  bool operator==(const PartAsk&) const = default;
};

struct PartGive {
  std::string digest;
  // Whether the sender has the part; `data` is empty otherwise.
  bool found = false;
  std::string data;

  bool operator==(const PartGive&) const = default;
};

// Requests with this fingerprint crash backend servers.
struct QuarantineNotice {
  ServiceId service;
  uint64_t fingerprint = 0;
  Duration remaining;

  bool operator==(const QuarantineNotice&) const = default;
};

// Asks a ticket's owner what became of it.
struct TicketAsk {
  // Chosen by the sender; the answer repeats it.
  uint64_t ask = 0;
  std::string ticket;
  uint64_t fingerprint = 0;
  // Whether the owner shall void the ticket if it is unused.
  bool void_unused = true;

  bool operator==(const TicketAsk&) const = default;
};

// What the owner knows of a ticket.
enum class TicketFate {
  // The owner cannot tell.
  kUnknown,
  // Unused, and voided by this ask: it will never run.
  kVoided,
  // Its request is running.
  kRunning,
  // It ended; TicketAnswer::answer holds the outcome.
  kEnded,
};

inline constexpr EnumNames<TicketFate, 4> kTicketFateNames{
    {"unknown", "voided", "running", "ended"}};

struct TicketAnswer {
  uint64_t ask = 0;
  TicketFate state = TicketFate::kUnknown;
  // The kept answer, as the ticket's owner encodes it.
  std::string answer;

  bool operator==(const TicketAnswer&) const = default;
};

// How much of a budget the sender could use.
struct Demand {
  std::string budget;
  double amount = 0;

  bool operator==(const Demand&) const = default;
};

struct BudgetDemand {
  // The highest epoch of a budget holder that the sender has seen.
  uint64_t epoch = 0;
  std::vector<Demand> demands;

  bool operator==(const BudgetDemand&) const = default;
};

// A share of a budget, which lapses after `lifetime`.
struct Grant {
  std::string budget;
  double amount = 0;
  Duration lifetime;

  bool operator==(const Grant&) const = default;
};

struct BudgetGrant {
  // The holder's epoch.
  uint64_t epoch = 0;
  std::vector<Grant> grants;

  bool operator==(const BudgetGrant&) const = default;
};

using PeerMessage = std::variant<Heartbeat,
                                 ZoneDigests,
                                 LeavingNotice,
                                 ConfigCompare,
                                 ConfigAsk,
                                 ConfigPush,
                                 PartAsk,
                                 PartGive,
                                 QuarantineNotice,
                                 TicketAsk,
                                 TicketAnswer,
                                 BudgetDemand,
                                 BudgetGrant>;

// Who sent a message. Bound to the fleet key, not to a key of the host: a
// holder of the fleet key can speak for every host.
struct PeerSender {
  HostId host;
  Incarnation incarnation = 0;

  bool operator==(const PeerSender&) const = default;
};

// A message to one or more hosts.
struct Outgoing {
  std::vector<HostId> to;
  PeerMessage message;
};

}  // namespace toucanknot

#endif  // INCLUDE_PEER_MESSAGES_H_
