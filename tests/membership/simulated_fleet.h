#ifndef TESTS_MEMBERSHIP_SIMULATED_FLEET_H_
#define TESTS_MEMBERSHIP_SIMULATED_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "include/membership/fleet_agent.h"
#include "include/peer/envelope.h"
#include "include/peer/frame_codec.h"

namespace toucanknot {

// Simulates many FleetAgents on one thread, connected by a queue with delay and
// loss, with a fake store. For tests and benchmarks without I/O.
class SimulatedFleet {
 public:
  struct Options {
    int regions = 3;
    int zones_per_region = 2;
    // Hosts are assigned to the zones in turn.
    int hosts = 7;
    double loss = 0;
    Duration zone_delay{1};
    Duration region_delay{20};
    uint64_t seed = 1;
    // Encodes messages to count their bytes.
    bool count_bytes = false;
    MembershipOptions membership;
  };

  struct Node {
    HostId host;
    ZoneId zone;
    Incarnation incarnation = 1;
    std::unique_ptr<FleetAgent> agent;
    Instant next_wake;
    bool running = true;
    bool can_reach_store = true;
    std::optional<uint64_t> watching;
    uint64_t sent = 0;
    uint64_t received = 0;
    uint64_t sent_bytes = 0;
    uint64_t received_bytes = 0;
  };

  explicit SimulatedFleet(Options options)
      : options_(options), random_(options.seed) {
    MakeRoster();
    for (size_t i = 0; i < nodes_.size(); ++i)
      StartNode(i);
  }

  std::vector<Node>& nodes() { return nodes_; }
  Instant now() const { return now_; }
  uint64_t store_calls() const { return store_calls_; }
  const RosterPtr& roster() const { return roster_; }

  // Sets whether messages get through between two zones; at first all do.
  void SetReachable(
      std::function<bool(const ZoneId& from, const ZoneId& to)> reachable) {
    reachable_ = std::move(reachable);
  }
  void SetStoreUp(bool up) {
    store_up_ = up;
    if (!up) {
      for (size_t i = 0; i < nodes_.size(); ++i)
        FailWatch(i);
    }
  }
  // Makes the store unreachable for the hosts of one zone.
  void CutFromStore(const ZoneId& zone) {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].zone != zone)
        continue;
      nodes_[i].can_reach_store = false;
      FailWatch(i);
    }
  }
  // Writes a root value: "version:rest".
  void WriteStore(uint64_t version, const std::string& rest = "a") {
    store_text_ = std::to_string(version) + ":" + rest;
    ++store_revision_;
    for (size_t i = 0; i < nodes_.size(); ++i)
      ScheduleAt(now_ + kStoreDelay, [this, i] { EndWatch(i); });
  }

  void PutPart(const std::string& name, const std::string& bytes) {
    store_parts_[name] = bytes;
  }
  uint64_t part_reads() const { return part_reads_; }

  void Kill(size_t i) {
    nodes_[i].running = false;
    nodes_[i].watching.reset();
  }
  // A paused process keeps its state.
  void Pause(size_t i) { nodes_[i].running = false; }
  void Resume(size_t i) {
    nodes_[i].running = true;
    TickNode(i);
  }
  void Restart(size_t i) {
    ++nodes_[i].incarnation;
    nodes_[i].watching.reset();
    StartNode(i);
  }

  void RunFor(Duration length) {
    const Instant end = now_ + length;
    while (!events_.empty() && events_.top().at <= end)
      RunNextEvent();
    now_ = end;
  }
  // Runs until `done` or for `limit`; returns the time it took, or nothing.
  std::optional<Duration> RunUntil(Duration limit,
                                   const std::function<bool()>& done) {
    const Instant begin = now_;
    while (!done()) {
      if (now_ - begin > limit)
        return std::nullopt;
      RunFor(Duration(10));
    }
    return now_ - begin;
  }
  // The time until every running host has `version` in force.
  std::optional<Duration> TimeUntilInForce(uint64_t version, Duration limit) {
    return RunUntil(limit, [&] {
      return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& n) {
        return !n.running ||
               n.agent->dissemination().stamp().version == version;
      });
    });
  }

  static std::optional<ConfigStamp> StampOf(const std::string& text) {
    const size_t colon = text.find(':');
    if (colon == std::string::npos)
      return std::nullopt;
    return ConfigStamp{std::stoull(text), text.substr(colon + 1, 16)};
  }

 private:
  static constexpr Duration kStoreDelay{3};

  struct Event {
    Instant at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };

  void MakeRoster() {
    FleetConfig config;
    const int zones = options_.regions * options_.zones_per_region;
    for (int r = 0; r < options_.regions; ++r) {
      Region region{RegionId("r" + std::to_string(r)), {}};
      for (int z = 0; z < options_.zones_per_region; ++z)
        region.zones.push_back(ZoneName(r * options_.zones_per_region + z));
      config.regions.push_back(region);
    }
    for (int i = 0; i < options_.hosts; ++i) {
      const HostId host("host-" + std::to_string(10'000 + i));
      config.hosts.push_back({host, ZoneName(i % zones), {}, {}});
      index_[host] = nodes_.size();
      nodes_.push_back({host, ZoneName(i % zones)});
    }
    roster_ = std::make_shared<Roster>(config);
  }

  static ZoneId ZoneName(int i) {
    return ZoneId("z" + std::to_string(100 + i));
  }

  void StartNode(size_t i) {
    Node& node = nodes_[i];
    node.agent = FleetAgent::Builder()
                     .SetSelf({node.host, node.incarnation}, node.zone)
                     .SetMembershipOptions(options_.membership)
                     .SetHooks(StampOf,
                               [](const ConfigStamp&, const std::string& text) {
                                 return text.find("bad") == std::string::npos;
                               })
                     .SetSeed(random_())
                     .Build();
    node.running = true;
    // Hosts start at slightly different times.
    ScheduleAt(now_ + Duration(static_cast<int64_t>(random_() % 1000)),
               [this, i] {
                 nodes_[i].agent->OnRoster(roster_, now_);
                 nodes_[i].agent->membership().Ready(now_);
                 TickNode(i);
               });
  }

  void ScheduleAt(Instant at, std::function<void()> run) {
    events_.push({at, next_order_++, std::move(run)});
  }

  void RunNextEvent() {
    // priority_queue gives only const access; the event is removed right after.
    auto run = std::move(const_cast<Event&>(events_.top()).run);
    now_ = std::max(now_, events_.top().at);
    events_.pop();
    run();
  }

  void TickNode(size_t i) {
    Node& node = nodes_[i];
    if (!node.running)
      return;
    FleetActions actions = node.agent->Tick(now_);
    for (const OutgoingMessage& it : actions.messages)
      Send(node, it);
    if (actions.watch)
      StartWatch(i, *actions.watch);
    if (actions.list_hosts)
      ListHosts(i);
    for (const std::string& it : actions.part_reads)
      ReadPart(i, it);
    const Instant wake = std::max(node.agent->NextWake(), now_ + Duration(1));
    node.next_wake = wake;
    ScheduleAt(wake, [this, i, wake] {
      if (nodes_[i].next_wake == wake)
        TickNode(i);
    });
  }

  void Send(Node& from, const OutgoingMessage& out) {
    const PeerSender sender{from.host, from.incarnation};
    const auto message = std::make_shared<const PeerMessage>(out.message);
    const size_t bytes = options_.count_bytes
                             ? EncodeEnvelope(sender, out.message).size() +
                                   kFrameHeadBytes + kLengthBytes
                             : 0;
    for (const HostId& host : out.to) {
      ++from.sent;
      from.sent_bytes += bytes;
      const size_t to = index_.at(host);
      if (std::uniform_real_distribution<>()(random_) < options_.loss ||
          (reachable_ && !reachable_(from.zone, nodes_[to].zone))) {
        continue;
      }
      ScheduleAt(now_ + DelayTo(from, nodes_[to]),
                 [this, to, sender, message, bytes] {
                   Deliver(to, sender, *message, bytes);
                 });
    }
  }

  Duration DelayTo(const Node& from, const Node& to) const {
    const bool same = roster_->FindZone(from.zone)->region ==
                      roster_->FindZone(to.zone)->region;
    return same ? options_.zone_delay : options_.region_delay;
  }

  void Deliver(size_t to,
               const PeerSender& sender,
               const PeerMessage& message,
               size_t bytes) {
    Node& node = nodes_[to];
    if (!node.running)
      return;
    ++node.received;
    node.received_bytes += bytes;
    node.agent->OnMessage(sender, message, now_);
    if (node.agent->NextWake() <= now_)
      TickNode(to);
  }

  bool ReachesStore(const Node& node) const {
    return store_up_ && node.can_reach_store;
  }

  void StartWatch(size_t i, const WatchRequest& request) {
    ++store_calls_;
    nodes_[i].watching = request.seen_revision;
    if (!ReachesStore(nodes_[i])) {
      ScheduleAt(now_ + kStoreDelay, [this, i] { FailWatch(i); });
      return;
    }
    ScheduleAt(now_ + kStoreDelay, [this, i] { EndWatch(i); });
    const auto incarnation = nodes_[i].incarnation;
    ScheduleAt(now_ + request.limit,
               [this, i, incarnation, seen = request.seen_revision] {
                 Node& node = nodes_[i];
                 if (!node.running || node.incarnation != incarnation ||
                     node.watching != seen) {
                   return;
                 }
                 node.watching.reset();
                 node.agent->OnWatchTimeout(now_);
                 TickNode(i);
               });
  }

  // Ends a watch if the value differs from the one it has seen.
  void EndWatch(size_t i) {
    Node& node = nodes_[i];
    if (!node.running || !node.watching || *node.watching == store_revision_ ||
        store_revision_ == 0 || !ReachesStore(node)) {
      return;
    }
    node.watching.reset();
    node.agent->OnWatchValue(store_revision_, store_text_, now_);
    TickNode(i);
  }

  void FailWatch(size_t i) {
    Node& node = nodes_[i];
    if (!node.running || !node.watching)
      return;
    node.watching.reset();
    node.agent->OnWatchFailure(now_);
    TickNode(i);
  }

  void ListHosts(size_t i) {
    ++store_calls_;
    ScheduleAt(now_ + kStoreDelay, [this, i] {
      Node& node = nodes_[i];
      if (!node.running)
        return;
      if (!ReachesStore(node)) {
        node.agent->OnHostListFailure(now_);
        return;
      }
      std::vector<HostListEntry> list;
      for (const Node& it : nodes_)
        list.push_back({it.host, false});
      node.agent->OnHostList(list, now_);
    });
  }

  void ReadPart(size_t i, const std::string& name) {
    ++store_calls_;
    ++part_reads_;
    ScheduleAt(now_ + kStoreDelay, [this, i, name] {
      Node& node = nodes_[i];
      if (!node.running)
        return;
      const auto part = store_parts_.find(name);
      std::optional<std::string> bytes;
      if (ReachesStore(node) && part != store_parts_.end())
        bytes = part->second;
      node.agent->OnStorePart(name, bytes, now_);
      TickNode(i);
    });
  }

  const Options options_;
  std::mt19937_64 random_;
  RosterPtr roster_;
  std::vector<Node> nodes_;
  std::map<HostId, size_t> index_;
  std::priority_queue<Event> events_;
  uint64_t next_order_ = 0;
  Instant now_{1'000'000};
  std::function<bool(const ZoneId&, const ZoneId&)> reachable_;
  bool store_up_ = true;
  std::string store_text_;
  uint64_t store_revision_ = 0;
  uint64_t store_calls_ = 0;
  std::map<std::string, std::string> store_parts_;
  uint64_t part_reads_ = 0;
};

}  // namespace toucanknot

#endif  // TESTS_MEMBERSHIP_SIMULATED_FLEET_H_
