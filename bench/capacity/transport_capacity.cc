#include "bench/capacity/transport_capacity.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <vector>

#include "bench/capacity/line_fit.h"
#include "bench/capacity/process_cost.h"
#include "include/peer/peer_transport.h"

namespace toucanknot::bench {
namespace {

constexpr int kDesignZoneHosts = 90;
constexpr double kCpuTargetPercent = 1.1;
constexpr double kMemoryTargetMb = 64;
// Messages that a host sends per second at the design size.
constexpr int kMessagesPerSecond = 30;
constexpr std::chrono::seconds kMeasuredTime{5};

// Transports of several hosts on one context, each of which sends to all
// others.
class TransportMesh {
 public:
  explicit TransportMesh(int hosts) {
    std::map<HostId, Endpoint> peers;
    for (int i = 0; i < hosts; ++i) {
      PeerTransportOptions options;
      options.self = {HostId("host-" + std::to_string(i)), 1};
      options.listen = {"127.0.0.1", 0};
      options.keys =
          std::make_shared<FleetKeys>(FleetKey{1, "a key for measurements"});
      hosts_.push_back(std::make_unique<PeerTransport>(context_, options));
      hosts_.back()->Start([](const PeerSender&, const PeerMessage&) {});
      peers[options.self.host] = hosts_.back()->listen_address();
      names_.push_back(options.self.host);
    }
    for (const auto& it : hosts_)
      it->SetPeers(peers);
    heartbeat_.zone = ZoneId("zone-1");
    heartbeat_.config = {7200, "0123456789abcdef"};
  }

  // Sends a heartbeat from each host to all others.
  void SendHeartbeats() {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      OutgoingMessage out{{}, heartbeat_};
      for (size_t k = 0; k < names_.size(); ++k) {
        if (k != i)
          out.to.push_back(names_[k]);
      }
      hosts_[i]->Send(out);
    }
    ++heartbeat_.sequence;
  }

  void RunFor(std::chrono::steady_clock::duration time) {
    context_.restart();
    context_.run_for(time);
  }

  uint64_t Received() const {
    uint64_t n = 0;
    for (const auto& it : hosts_)
      n += it->stats().received_messages;
    return n;
  }

 private:
  boost::asio::io_context context_;
  std::vector<std::unique_ptr<PeerTransport>> hosts_;
  std::vector<HostId> names_;
  Heartbeat heartbeat_;
};

}  // namespace

void PrintTransportCapacity() {
  std::vector<Sample> cpu;
  std::vector<Sample> heap;
  for (const int hosts : {4, 8, 16, 24, 32}) {
    const double heap_before = HeapBytes();
    TransportMesh mesh(hosts);
    mesh.SendHeartbeats();
    mesh.RunFor(std::chrono::seconds(1));
    heap.push_back({static_cast<double>(hosts),
                    (HeapBytes() - heap_before) / hosts / 1e6});
    const double messages_per_round = hosts - 1;
    const auto pause = std::chrono::microseconds(
        static_cast<int64_t>(messages_per_round / kMessagesPerSecond * 1e6));
    const uint64_t received_before = mesh.Received();
    const double cpu_before = CpuSeconds();
    const auto end = std::chrono::steady_clock::now() + kMeasuredTime;
    while (std::chrono::steady_clock::now() < end) {
      mesh.SendHeartbeats();
      mesh.RunFor(pause);
    }
    const double seconds = CpuSeconds() - cpu_before;
    const auto messages =
        static_cast<double>(mesh.Received() - received_before);
    std::printf(
        "%d hosts on loopback: %.0f messages, %.1f us each, both ends\n", hosts,
        messages, seconds / messages * 1e6);
    cpu.push_back({static_cast<double>(hosts),
                   seconds / messages * kMessagesPerSecond * 100});
  }
  PrintFit("processor time of the transport, 30 messages/s each way", "%",
           "hosts", cpu, kDesignZoneHosts, kCpuTargetPercent);
  PrintFit("memory of the transport", "MB", "hosts", heap, kDesignZoneHosts,
           kMemoryTargetMb);
}

}  // namespace toucanknot::bench
