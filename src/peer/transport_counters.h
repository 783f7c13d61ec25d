#ifndef SRC_PEER_TRANSPORT_COUNTERS_H_
#define SRC_PEER_TRANSPORT_COUNTERS_H_

#include <atomic>
#include <cstdint>

#include "include/peer/peer_transport.h"

namespace toucanknot {

// Live counters behind PeerTransportStats, shared by all links and sessions.
struct TransportCounters {
  std::atomic<uint64_t> sent_messages = 0;
  std::atomic<uint64_t> sent_bytes = 0;
  std::atomic<uint64_t> received_messages = 0;
  std::atomic<uint64_t> received_bytes = 0;
  std::atomic<uint64_t> dropped_messages = 0;
  std::atomic<uint64_t> bad_connections = 0;
  std::atomic<uint64_t> unknown_messages = 0;
  std::atomic<uint64_t> connect_failures = 0;

  PeerTransportStats Read() const {
    return {sent_messages,    sent_bytes,       received_messages,
            received_bytes,   dropped_messages, bad_connections,
            unknown_messages, connect_failures};
  }
};

}  // namespace toucanknot

#endif  // SRC_PEER_TRANSPORT_COUNTERS_H_
