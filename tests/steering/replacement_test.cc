// Replaces hosts while the hosts of a region have outdated and differing views
// of which hosts are live; a server's connection limit must hold nevertheless.

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "include/steering/dispatcher_builder.h"
#include "tests/steering/fleet.h"

namespace toucanknot {
namespace {

constexpr int kServers = 3;
constexpr int kSlots = 4;
// So few that the hosts' shares are the effective limit.
constexpr int kConnections = 7;
constexpr int kSteps = 4'000;

// One incarnation of an entry host. The requests that it sent keep running
// after its end.
struct HostInstance {
  HostId host;
  std::unique_ptr<Dispatcher> dispatcher;
  std::vector<DispatchDecision> running;
  bool ended = false;
};

class Hosts {
 public:
  Hosts(uint64_t seed, Policy policy)
      : random_(seed), policy_(policy), fleet_(SmallFleet(kServers, kSlots)) {
    for (BackendServer& it : fleet_->services[0].servers)
      it.max_connections = kConnections;
    for (const char* it : {"r0-h0", "r0-h1", "r1-h0", "r1-h1"})
      Start(HostId(it));
  }

  void Step() {
    now_ = now_ + Duration(static_cast<int64_t>(random_() % 5));
    switch (random_() % 16) {
      case 0:
        Replace();
        break;
      case 1:
        ReportLiveHosts();
        break;
      case 2:
      case 3:
        ShareLoad();
        break;
      case 4:
      case 5:
      case 6:
      case 7:
      case 8:
        FinishOne();
        break;
      default:
        Offer(AnyRunning(), {.id = next_++,
                             .deadline = now_ + Duration(500),
                             .hop = Hop::kCaller});
    }
  }

  // The highest number of requests that were open at one server at the same
  // time.
  int max_open() const { return max_open_; }
  int forwards() const { return forwards_; }

 private:
  HostInstance& AnyRunning() {
    std::vector<HostInstance*> alive;
    for (const auto& it : instances_) {
      if (!it->ended)
        alive.push_back(it.get());
    }
    return *alive[random_() % alive.size()];
  }

  HostInstance* Find(const HostId& host) {
    for (const auto& it : instances_) {
      if (!it->ended && it->host == host)
        return it.get();
    }
    return nullptr;
  }

  void Start(const HostId& host) {
    auto instance = std::make_unique<HostInstance>();
    instance->host = host;
    instance->dispatcher = DispatcherBuilder()
                               .SetService(ServiceId("s"))
                               .SetHost(host)
                               .SetPolicy(policy_)
                               .SetSeed(random_())
                               .Build();
    instance->dispatcher->OnConfig(fleet_, 0, now_);
    instances_.push_back(std::move(instance));
  }

  // Ends a host and starts its successor. Requests of the incarnation before
  // the ended one are over by then, since only one predecessor may still hold
  // connections.
  void Replace() {
    HostInstance& old = AnyRunning();
    const HostId host = old.host;
    std::erase_if(instances_, [&](const auto& it) {
      if (!it->ended || it->host != host)
        return false;
      for (const DispatchDecision& d : it->running)
        --open_[d.server];
      return true;
    });
    old.ended = true;
    Start(host);
  }

  // Reports a random subset of the hosts as live to one host.
  void ReportLiveHosts() {
    std::vector<HostId> live;
    for (const HostId& it : HostsOf(*fleet_)) {
      if (random_() % 4 != 0)
        live.push_back(it);
    }
    AnyRunning().dispatcher->OnHosts(live, now_);
  }

  void ShareLoad() {
    PeerLoad load = AnyRunning().dispatcher->OwnLoad();
    load.age = Duration(static_cast<int64_t>(random_() % 50));
    AnyRunning().dispatcher->OnPeerLoad(load, now_);
  }

  void FinishOne() {
    HostInstance& instance = *instances_[random_() % instances_.size()];
    if (instance.running.empty())
      return;
    const size_t i = random_() % instance.running.size();
    const DispatchDecision d = instance.running[i];
    instance.running.erase(instance.running.begin() + static_cast<int64_t>(i));
    --open_[d.server];
    if (instance.ended)
      return;
    instance.dispatcher->Finish(
        {.request_id = d.request_id, .server = d.server, .took = Duration(20)},
        now_);
    for (const DispatchDecision& it : instance.dispatcher->Advance(now_))
      Apply(instance, it, hops_[it.request_id]);
  }

  void Offer(HostInstance& instance, const DispatchRequest& request) {
    hops_[request.id] = request.hop;
    Apply(instance, instance.dispatcher->Offer(request, now_), request.hop);
  }

  void Apply(HostInstance& instance,
             const DispatchDecision& decision,
             Hop hop) {
    if (decision.step == Step::kSend) {
      instance.running.push_back(decision);
      max_open_ = std::max(max_open_, ++open_[decision.server]);
      // A host never sends to another region's server.
      CHECK(decision.server.str().substr(0, 2) ==
            instance.host.str().substr(0, 2));
    } else if (decision.step == Step::kForward) {
      Forward(instance, decision, hop);
    }
  }

  void Forward(HostInstance& instance,
               const DispatchDecision& decision,
               Hop hop) {
    ++forwards_;
    const bool other_region =
        decision.host.str().substr(0, 2) != instance.host.str().substr(0, 2);
    const bool had_crossed =
        hop == Hop::kCrossed || hop == Hop::kCrossedInRegion;
    if (other_region) {
      CHECK_FALSE(had_crossed);
      CHECK(decision.hop == Hop::kCrossed);
    } else {
      CHECK((hop == Hop::kCaller || hop == Hop::kCrossed));
      CHECK(decision.hop ==
            (had_crossed ? Hop::kCrossedInRegion : Hop::kInRegion));
    }
    HostInstance* next = Find(decision.host);
    instance.dispatcher->Finish(
        {.request_id = decision.request_id,
         .host = decision.host,
         .end = next ? AttemptEnd::kAnswered : AttemptEnd::kNotSent},
        now_);
    if (next) {
      Offer(*next, {.id = next_++,
                    .deadline = now_ + Duration(500),
                    .hop = decision.hop});
    }
  }

  std::mt19937_64 random_;
  const Policy policy_;
  std::shared_ptr<FleetConfig> fleet_;
  std::vector<std::unique_ptr<HostInstance>> instances_;
  std::map<ServerId, int> open_;
  std::map<uint64_t, Hop> hops_;
  Instant now_{1'000};
  uint64_t next_ = 1;
  int max_open_ = 0;
  int forwards_ = 0;
};

}  // namespace

TEST_CASE("connection limits hold while hosts are replaced") {
  const std::vector<Policy> policies{
      Policy::kStaticShare, Policy::kTwoChoices,      Policy::kPeerLoad,
      Policy::kHoming,      Policy::kHomingLeastWait, Policy::kPool};
  for (const Policy policy : policies) {
    INFO(kPolicyNames.Name(policy));
    int max_open = 0;
    int forwards = 0;
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      Hosts hosts(seed, policy);
      for (int i = 0; i < kSteps; ++i)
        hosts.Step();
      max_open = std::max(max_open, hosts.max_open());
      forwards += hosts.forwards();
    }
    CHECK(max_open <= kConnections);
    // The bound was tested under load.
    CHECK(max_open >= 2);
    if (policy == Policy::kPool)
      CHECK(forwards > 0);
  }
}

}  // namespace toucanknot
