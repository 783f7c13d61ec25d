#ifndef INCLUDE_CONFIG_FLEET_CONFIG_H_
#define INCLUDE_CONFIG_FLEET_CONFIG_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "include/base/ids.h"
#include "include/config/tunables.h"

namespace toucanknot {

// A region and its availability zones.
struct Region {
  RegionId id;
  std::vector<ZoneId> zones;
};

// One direction of the link between two regions.
struct Link {
  RegionId from;
  RegionId to;
  // For all traffic together in this direction, in megabits a second.
  double mbit_per_s = 0;
  Duration one_way;
};

// A host of the system.
struct EntryHost {
  HostId id;
  ZoneId zone;
  // Where callers and other regions' entry hosts send HTTP.
  Endpoint address;
  // Where other entry hosts speak the inner protocol.
  Endpoint peer_address;
};

// A host that runs a service's work. Nothing of ours runs there.
struct BackendServer {
  ServerId id;
  ZoneId zone;
  Endpoint address;
  // Requests it runs at once.
  int slots = 1;
  // Connections it accepts from all hosts together.
  int max_connections = 1;
};

// A service as operators declare it. What may differ by place is in Tunables.
struct Service {
  ServiceId id;
  // The class of work; an entry of FleetConfig::refusal_order().
  std::string work_class;
  std::vector<BackendServer> servers;
  // "POST /proofs": method and path prefix of requests, besides GET and HEAD,
  // that are idempotent.
  std::vector<std::string> idempotent_requests;
  // Statuses by which a backend server promises that it did not run the
  // request.
  std::vector<int> not_run_statuses;
  // The path that backend servers answer with their health and load.
  std::string health_path = "/health";
};

// What an exception applies to. An absent part matches everything.
struct Scope {
  std::optional<ServiceId> service;
  std::optional<RegionId> region;
  std::optional<ZoneId> zone;
  std::optional<HostId> host;
  std::optional<ServerId> server;

  bool operator==(const Scope&) const = default;
  // Whether an exception with this scope applies at `place`, all of whose
  // known parts are set.
  bool Matches(const Scope& place) const;
};

// A departure from the fleet-wide defaults, with its reason.
struct ConfigException {
  std::string id;
  Scope scope;
  std::string reason;
  std::string author;
  // When it goes out of force by itself, in Unix milliseconds.
  std::optional<int64_t> ends_unix_ms;
  std::vector<TunableValue> values;

  bool operator==(const ConfigException&) const = default;
  bool InForce(int64_t unix_ms) const {
    return !ends_unix_ms || unix_ms < *ends_unix_ms;
  }
};

// One accepted configuration: immutable, shared by pointer.
struct FleetConfig {
  // Grows with every change; 0 is "none yet".
  uint64_t version = 0;
  // Of the configuration's text, in hex.
  std::string digest;
  std::vector<Region> regions;
  std::vector<Link> links;
  std::vector<EntryHost> hosts;
  std::vector<Service> services;
  // Classes of work; the first is refused first.
  std::vector<std::string> refusal_order;
  Tunables defaults;
  // In the order in which they were added; a later one wins.
  std::vector<ConfigException> exceptions;

  // The defaults, changed by every exception that is in force and matches.
  Tunables Resolve(const Scope& place, int64_t unix_ms) const;

  // When the next exception that is in force at `unix_ms` ends: what Resolve()
  // returned until then has to be resolved anew.
  std::optional<int64_t> NextEnd(int64_t unix_ms) const;

  const Service* FindService(const ServiceId& id) const;
  const EntryHost* FindHost(const HostId& id) const;
  const Link* FindLink(const RegionId& from, const RegionId& to) const;
  // The region of `zone`; empty when there is no such zone.
  RegionId RegionOf(const ZoneId& zone) const;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_FLEET_CONFIG_H_
