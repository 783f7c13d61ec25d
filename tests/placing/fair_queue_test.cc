// Sharing of short slots between workspaces. Guards against a workspace that
// floods a service and leaves others waiting behind all of its requests.

#include "include/placing/fair_queue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "include/placing/placer.h"

namespace toucanknot {
namespace {

constexpr uint32_t kA = 11;
constexpr uint32_t kB = 22;
constexpr int kSlots = 4;

// A host with one server, whose requests take 100 ms.
struct Fixture {
  Fixture()
      : registry([](ServerChange, const ServerRegistry::Server&) {}),
        placer({HostId("h"),
                ZoneId("z"),
                RegionId("r"),
                {{ZoneId("z"), RegionId("r")}}},
               registry,
               now) {
    route.name = "plain";
    route.target_latency = Duration(200);
    route.timeout = Duration(120'000);
    route.sticky = false;
    route.targets = {{ServiceId("s"), 1}};
    ServerEntry entry;
    entry.id = ServerId("s1");
    entry.service = ServiceId("s");
    entry.zone = ZoneId("z");
    entry.slots = kSlots;
    entry.incarnation = 1;
    registry.OnEntry(entry, now);
  }

  void Offer(uint32_t workspace, int priority = 1) {
    PlacementRequest request;
    request.id = ++last_id;
    request.route = &route;
    request.service = ServiceId("s");
    request.target = now + Duration(60'000);
    request.deadline = now + route.timeout;
    request.priority = priority;
    request.workspace = workspace;
    owner[request.id] = workspace;
    if (const Placement out = placer.Offer(request, now);
        out.step == PlacementStep::kSend) {
      OnSent(out);
    } else if (out.step == PlacementStep::kRefuse) {
      ++refused;
    }
  }
  // Ends the oldest request at the server, and sends what may be sent then.
  void EndOne() {
    now = now + Duration(100);
    if (!running.empty()) {
      PlacedAttemptResult result;
      result.request_id = running.front();
      result.server = ServerId("s1");
      result.took = Duration(100);
      running.erase(running.begin());
      placer.Finish(result, now);
    }
    for (const Placement& it : placer.Advance(now)) {
      if (it.step == PlacementStep::kSend)
        OnSent(it);
      else
        ++refused;
    }
  }
  void RunUntilSent(size_t n) {
    for (int i = 0; i < 1'000 && sent.size() < n; ++i)
      EndOne();
    INFO("refused " << refused << " waiting " << placer.waiting());
    REQUIRE(sent.size() >= n);
  }
  void OnSent(const Placement& placement) {
    running.push_back(placement.request_id);
    sent.push_back(placement.request_id);
  }
  int SentOf(uint32_t workspace, size_t from) const {
    return static_cast<int>(
        std::count_if(sent.begin() + from, sent.end(),
                      [&](uint64_t id) { return owner.at(id) == workspace; }));
  }

  Instant now{1'000'000};
  ServerRegistry registry;
  Placer placer;
  Route route;
  uint64_t last_id = 0;
  int refused = 0;
  std::map<uint64_t, uint32_t> owner;
  std::vector<uint64_t> running;
  std::vector<uint64_t> sent;
};

}  // namespace

TEST_CASE("workspaces start in turn") {
  FairQueue queue;
  std::vector<int64_t> a;
  for (int i = 0; i < 3; ++i) {
    a.push_back(queue.StartOf(kA));
    queue.OnTaken(kA);
  }
  CHECK(a == std::vector<int64_t>{0, 1, 2});
  CHECK(queue.StartOf(kB) == 0);
  queue.OnSent(1);
  // A workspace that was idle starts at the present, not in the past.
  CHECK(queue.StartOf(kB) == 1);
  queue.OnDropped(kA);
  CHECK(queue.StartOf(kA) == 2);
}

TEST_CASE("idle workspaces are forgotten") {
  FairQueue queue;
  for (uint32_t i = 1; i <= 10'000; ++i) {
    const int64_t start = queue.StartOf(i);
    queue.OnTaken(i);
    queue.OnSent(start);
    queue.OnSent(start + 1);
  }
  CHECK(queue.size() <= 100);
}

TEST_CASE("without workspaces all requests have the same start") {
  FairQueue queue;
  for (int i = 0; i < 100; ++i) {
    CHECK(queue.StartOf(0) == 0);
    queue.OnTaken(0);
    queue.OnSent(0);
  }
}

TEST_CASE("a flood of one workspace does not hold up another") {
  Fixture it;
  for (int i = 0; i < 100; ++i)
    it.Offer(kA);
  const size_t before = it.sent.size();
  for (int i = 0; i < 10; ++i)
    it.Offer(kB);
  it.RunUntilSent(before + 22);
  CHECK(it.SentOf(kB, before) == 10);
  // What the other leaves unused goes to the first.
  CHECK(it.SentOf(kA, before) >= 12);
}

TEST_CASE("a less urgent request of a fair workspace still waits") {
  Fixture it;
  for (int i = 0; i < 40; ++i)
    it.Offer(kA, 0);
  for (int i = 0; i < 10; ++i)
    it.Offer(kB, 1);
  const size_t before = it.sent.size();
  it.RunUntilSent(before + 15);
  CHECK(it.SentOf(kB, before) == 0);
}

TEST_CASE("without workspaces requests leave in the order of arrival") {
  Fixture it;
  for (int i = 0; i < 60; ++i)
    it.Offer(0);
  it.RunUntilSent(50);
  CHECK(std::is_sorted(it.sent.begin(), it.sent.end()));
}

}  // namespace toucanknot
