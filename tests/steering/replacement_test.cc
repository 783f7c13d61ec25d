// Several hosts of a region with their own, late and differing views of which
// hosts live, while hosts are replaced.

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
// Few, so that the shares bind.
constexpr int kConnections = 7;
constexpr int kSteps = 4'000;

// A life of an entry host. After its end what it sent runs on.
struct Life {
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
        TellHosts();
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
        Offer(Any(), {.id = next_++,
                      .deadline = now_ + Duration(500),
                      .hop = Hop::kCaller});
    }
  }

  // The most requests that were open at one server at once.
  int worst() const { return worst_; }
  int passes() const { return passes_; }

 private:
  Life& Any() {
    std::vector<Life*> alive;
    for (const auto& it : lives_) {
      if (!it->ended)
        alive.push_back(it.get());
    }
    return *alive[random_() % alive.size()];
  }

  Life* Find(const HostId& host) {
    for (const auto& it : lives_) {
      if (!it->ended && it->host == host)
        return it.get();
    }
    return nullptr;
  }

  void Start(const HostId& host) {
    auto life = std::make_unique<Life>();
    life->host = host;
    life->dispatcher = DispatcherBuilder()
                           .SetService(ServiceId("s"))
                           .SetHost(host)
                           .SetPolicy(policy_)
                           .SetSeed(random_())
                           .Build();
    life->dispatcher->OnConfig(fleet_, 0, now_);
    lives_.push_back(std::move(life));
  }

  // The one before may still be about, but the one before that is not.
  void Replace() {
    Life& old = Any();
    const HostId host = old.host;
    std::erase_if(lives_, [&](const auto& it) {
      if (!it->ended || it->host != host)
        return false;
      for (const DispatchDecision& d : it->running)
        --open_[d.server];
      return true;
    });
    old.ended = true;
    Start(host);
  }

  // To one host, a random part of the hosts.
  void TellHosts() {
    std::vector<HostId> live;
    for (const HostId& it : HostsOf(*fleet_)) {
      if (random_() % 4 != 0)
        live.push_back(it);
    }
    Any().dispatcher->OnHosts(live, now_);
  }

  void ShareLoad() {
    PeerLoad load = Any().dispatcher->OwnLoad();
    load.age = Duration(static_cast<int64_t>(random_() % 50));
    Any().dispatcher->OnPeerLoad(load, now_);
  }

  void FinishOne() {
    Life& life = *lives_[random_() % lives_.size()];
    if (life.running.empty())
      return;
    const size_t i = random_() % life.running.size();
    const DispatchDecision d = life.running[i];
    life.running.erase(life.running.begin() + static_cast<int64_t>(i));
    --open_[d.server];
    if (life.ended)
      return;
    life.dispatcher->Finish(
        {.request_id = d.request_id, .server = d.server, .took = Duration(20)},
        now_);
    for (const DispatchDecision& it : life.dispatcher->Advance(now_))
      Apply(life, it, hops_[it.request_id]);
  }

  void Offer(Life& life, const DispatchRequest& request) {
    hops_[request.id] = request.hop;
    Apply(life, life.dispatcher->Offer(request, now_), request.hop);
  }

  void Apply(Life& life, const DispatchDecision& decision, Hop hop) {
    if (decision.step == Step::kSend) {
      life.running.push_back(decision);
      worst_ = std::max(worst_, ++open_[decision.server]);
      // Never another region's server.
      CHECK(decision.server.str().substr(0, 2) == life.host.str().substr(0, 2));
    } else if (decision.step == Step::kForward) {
      Pass(life, decision, hop);
    }
  }

  void Pass(Life& life, const DispatchDecision& decision, Hop hop) {
    ++passes_;
    const bool far =
        decision.host.str().substr(0, 2) != life.host.str().substr(0, 2);
    const bool was_far = hop == Hop::kCrossed || hop == Hop::kCrossedInRegion;
    if (far) {
      CHECK_FALSE(was_far);
      CHECK(decision.hop == Hop::kCrossed);
    } else {
      CHECK((hop == Hop::kCaller || hop == Hop::kCrossed));
      CHECK(decision.hop == (was_far ? Hop::kCrossedInRegion : Hop::kInRegion));
    }
    Life* next = Find(decision.host);
    life.dispatcher->Finish(
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
  std::vector<std::unique_ptr<Life>> lives_;
  std::map<ServerId, int> open_;
  std::map<uint64_t, Hop> hops_;
  Instant now_{1'000};
  uint64_t next_ = 1;
  int worst_ = 0;
  int passes_ = 0;
};

}  // namespace

TEST_CASE("connections of servers are never passed while hosts are replaced") {
  const std::vector<Policy> policies{
      Policy::kStaticShare, Policy::kTwoChoices,      Policy::kPeerLoad,
      Policy::kHoming,      Policy::kHomingLeastWait, Policy::kPool};
  for (const Policy policy : policies) {
    INFO(kPolicyNames.Name(policy));
    int worst = 0;
    int passes = 0;
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      Hosts hosts(seed, policy);
      for (int i = 0; i < kSteps; ++i)
        hosts.Step();
      worst = std::max(worst, hosts.worst());
      passes += hosts.passes();
    }
    CHECK(worst <= kConnections);
    // Not because nothing happened.
    CHECK(worst >= 2);
    if (policy == Policy::kPool)
      CHECK(passes > 0);
  }
}

}  // namespace toucanknot
