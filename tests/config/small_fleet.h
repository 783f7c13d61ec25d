#ifndef TESTS_CONFIG_SMALL_FLEET_H_
#define TESTS_CONFIG_SMALL_FLEET_H_

namespace toucanknot {

// Two regions, each with an entry host and a backend server of the one service.
inline constexpr char kSmallFleet[] = R"({
  "regions": [
    {"id": "north", "zones": ["n1", "n2"]},
    {"id": "south", "zones": ["s1", "s2"]}
  ],
  "links": [
    {"from": "north", "to": "south", "mbit_per_s": 8, "one_way_ms": 20},
    {"from": "south", "to": "north", "mbit_per_s": 8, "one_way_ms": 20}
  ],
  "hosts": [
    {"id": "h-1", "zone": "n1", "address": "127.0.0.1:1", "peer_address": "127.0.1.1:1"},
    {"id": "h-2", "zone": "s1", "address": "127.0.0.2:2", "peer_address": "127.0.1.2:2"}
  ],
  "services": [
    {
      "id": "orders", "work_class": "o", "idempotent_requests": ["POST /p"],
      "not_run_statuses": [503],
      "servers": [
        {"id": "s-1", "zone": "n2", "address": "127.0.0.8:8", "slots": 2, "max_connections": 9},
        {"id": "s-2", "zone": "s2", "address": "127.0.0.9:9", "slots": 3, "max_connections": 9}
      ]
    }
  ],
  "refusal_order": ["o"],
  "defaults": {"drain": false}, // nothing else is set
  "exceptions": []
})";

}  // namespace toucanknot

#endif  // TESTS_CONFIG_SMALL_FLEET_H_
