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
  // Capacity for all traffic in this direction, in megabits per second.
  double mbit_per_s = 0;
  Duration one_way;
};

// A host that accepts requests from callers and routes them to backend servers.
struct EntryHost {
  HostId id;
  ZoneId zone;
  // HTTP endpoint for callers and for the entry hosts of other regions.
  Endpoint address;
  // Endpoint of the protocol between entry hosts.
  Endpoint peer_address;
};

// A server that executes a service's requests. It runs no code of this project.
struct BackendServer {
  ServerId id;
  ZoneId zone;
  Endpoint address;
  // Number of requests it executes concurrently.
  int slots = 1;
  // Maximum number of connections it accepts from all hosts together.
  int max_connections = 1;
};

// A service as operators declare it. Settings that may differ by location are
// in Tunables.
struct Service {
  ServiceId id;
  // The class of work; an entry of FleetConfig::refusal_order.
  std::string work_class;
  std::vector<BackendServer> servers;
  // Idempotent requests besides GET and HEAD, each as method and path prefix,
  // such as "POST /proofs".
  std::vector<std::string> idempotent_requests;
  // HTTP status codes with which a backend server guarantees that it did not
  // execute the request.
  std::vector<int> not_run_statuses;
  // The path at which backend servers report their health and load.
  std::string health_path = "/health";
};

// Selects what an exception applies to, or names one location. In the scope of
// an exception, an absent part matches everything.
struct Scope {
  std::optional<ServiceId> service;
  std::optional<RegionId> region;
  std::optional<ZoneId> zone;
  std::optional<HostId> host;
  std::optional<ServerId> server;

  bool operator==(const Scope&) const = default;
  // Whether an exception with this scope applies at `location`, in which every
  // part that the location has is set.
  bool Matches(const Scope& location) const;
};

// An override of the fleet-wide defaults for one scope, with its reason.
struct ConfigException {
  std::string id;
  Scope scope;
  std::string reason;
  std::string author;
  // Expiry time in Unix milliseconds; never expires when absent.
  std::optional<int64_t> ends_unix_ms;
  std::vector<TunableValue> values;

  bool operator==(const ConfigException&) const = default;
  bool InForce(int64_t unix_ms) const {
    return !ends_unix_ms || unix_ms < *ends_unix_ms;
  }
};

// A complete configuration. Once accepted it is immutable and shared by
// pointer.
struct FleetConfig {
  // Increases with every change; 0 means that none was assigned yet.
  uint64_t version = 0;
  // Digest of the configuration's text, in hex.
  std::string digest;
  std::vector<Region> regions;
  std::vector<Link> links;
  std::vector<EntryHost> hosts;
  std::vector<Service> services;
  // Classes of work; under overload the first is rejected first.
  std::vector<std::string> refusal_order;
  Tunables defaults;
  // In the order in which they were added; later ones take precedence.
  std::vector<ConfigException> exceptions;

  // The tunables at `location`: the defaults, overridden by each matching
  // exception that has not expired at `unix_ms`.
  Tunables Resolve(const Scope& location, int64_t unix_ms) const;

  // When the next of the exceptions in force at `unix_ms` expires. Results of
  // Resolve() must be recomputed then. Empty when none expires.
  std::optional<int64_t> NextExceptionEnd(int64_t unix_ms) const;

  const Service* FindService(const ServiceId& id) const;
  const EntryHost* FindHost(const HostId& id) const;
  const Link* FindLink(const RegionId& from, const RegionId& to) const;
  // The region of `zone`; empty when there is no such zone.
  RegionId RegionOf(const ZoneId& zone) const;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_FLEET_CONFIG_H_
