// Backend servers that name a limit on the requests a second that they accept
// from all hosts together.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "include/placing/placer.h"

namespace toucanknot {
namespace {

constexpr int64_t kStart = 1'000'000;
constexpr int64_t kStepMs = 20;
constexpr int64_t kWindowMs = 4'000;
// A limit is in force this long after it was named.
constexpr int64_t kSettledMs = 3'000;
constexpr int64_t kReportEveryMs = 600;
constexpr int kServers = 6;
constexpr Incarnation kIncarnation = 1;

// Hosts that send requests to servers of one service, the first of which names
// a limit in its responses.
class Fleet {
 public:
  struct Options {
    int hosts = 7;
    double limit = 2;
    // Requests a second at each host.
    double requests = 20;
    // Distinct objects of the requests; 0 for requests without one.
    int objects = 20;
    // Only this host gets requests, if any is named.
    int busy_host = -1;
    // Whether the hosts report to each other.
    bool reports = true;
  };

  explicit Fleet(Options options) : options_(options) {
    route_.name = "r";
    route_.sticky = options.objects > 0;
    route_.target_latency = Duration(400);
    route_.timeout = Duration(1'500);
    route_.targets = {{ServiceId("s"), 1}};
    auto config = std::make_shared<RouteConfig>();
    config->version = 1;
    config->routes = {route_};
    config->services[ServiceId("s")] = {};
    for (int i = 0; i < options.hosts; ++i) {
      hosts_.push_back(std::make_unique<Host>(i));
      hosts_.back()->placer.OnConfig(config);
      for (int server = 0; server < kServers; ++server)
        hosts_.back()->registry.OnEntry(EntryOf(server), Instant(kStart));
    }
    Introduce(0, hosts_.size());
  }

  // Tells each host in [from, to) about the hosts in that range.
  void Introduce(size_t from, size_t to) {
    std::vector<FleetHost> peers;
    for (size_t i = from; i < to; ++i) {
      peers.push_back({HostKey(hosts_[i]->id), RegionId("r0"), ZoneId("z"), 1});
    }
    for (size_t i = from; i < to; ++i) {
      hosts_[i]->placer.SetHostCount(static_cast<int>(peers.size()));
      hosts_[i]->placer.SetHosts(peers);
    }
  }

  // What the limited server states in its responses from now on.
  void SetNotice(const ServerNotice& notice) { notice_ = notice; }

  void Run(Duration length) {
    const Instant end = now_ + length;
    for (; now_ < end; now_ = now_ + Duration(kStepMs)) {
      for (size_t i = 0; i < hosts_.size(); ++i) {
        if (options_.busy_host >= 0 &&
            i != static_cast<size_t>(options_.busy_host)) {
          continue;
        }
        due_ += options_.requests * kStepMs / 1'000;
        for (; due_ >= 1; due_ -= 1)
          Send(*hosts_[i]);
      }
      EndRequests();
      const bool due = (now_ - Instant(kStart)).ms() % kReportEveryMs == 0;
      if (options_.reports && due)
        Exchange();
    }
  }

  Instant now() const { return now_; }
  // Arrivals at the limited server in [from, to).
  int Arrived(Instant from, Instant to) const {
    return static_cast<int>(
        std::count_if(arrivals_.begin(), arrivals_.end(),
                      [&](Instant it) { return it >= from && it < to; }));
  }
  // The most arrivals at the limited server within kWindowMs from `from` on.
  int MostArrived(Instant from) const {
    int most = 0;
    for (const Instant it : arrivals_) {
      if (it >= from)
        most = std::max(most, Arrived(it, it + Duration(kWindowMs)));
    }
    return most;
  }
  int refused() const { return refused_; }
  static double MaxAllowed(double limit) {
    return 1.5 * limit * kWindowMs / 1'000 + 5;
  }

 private:
  struct Host {
    explicit Host(int i)
        : id("h" + std::to_string(i)),
          registry([](ServerChange, const ServerRegistry::Server&) {}),
          placer({id,
                  ZoneId("z"),
                  RegionId("r0"),
                  {{ZoneId("z"), RegionId("r0")}}},
                 registry,
                 Instant(kStart)) {}

    HostId id;
    ServerRegistry registry;
    Placer placer;
  };
  struct Running {
    Host* host = nullptr;
    PlacedAttemptResult result;
    Instant ends_at;
  };

  static ServerEntry EntryOf(int server) {
    ServerEntry entry;
    entry.id = ServerId("i-" + std::to_string(server));
    entry.service = ServiceId("s");
    entry.zone = ZoneId("z");
    entry.slots = 200;
    entry.incarnation = kIncarnation;
    return entry;
  }

  void Send(Host& host) {
    PlacementRequest request;
    request.id = ++last_id_;
    request.route = &route_;
    request.service = ServiceId("s");
    if (options_.objects > 0)
      request.object = 1 + last_id_ % options_.objects;
    request.target = now_ + Duration(400);
    request.deadline = now_ + Duration(1'500);
    const Placement out = host.placer.Offer(request, now_);
    if (out.step == PlacementStep::kWait)
      host.placer.Withdraw(request.id);
    if (out.step != PlacementStep::kSend) {
      ++refused_;
      return;
    }
    PlacedAttemptResult result;
    result.request_id = request.id;
    result.server = out.server;
    result.took = Duration(100);
    result.notice = ServerNotice();
    if (out.server == ServerId("i-0")) {
      arrivals_.push_back(now_);
      result.notice = notice_;
    }
    running_.push_back({&host, result, now_ + result.took});
  }

  void Exchange() {
    for (const auto& from : hosts_) {
      LoadSheet sheet;
      sheet.limits = from->placer.OwnLimits(now_);
      for (const auto& to : hosts_) {
        if (to != from)
          to->placer.OnPeerLimits(sheet, now_);
      }
    }
  }

  void EndRequests() {
    std::erase_if(running_, [&](const Running& it) {
      if (it.ends_at > now_)
        return false;
      it.host->placer.Finish(it.result, now_);
      if (it.result.notice->leaving)
        it.host->registry.OnLeavingResponse(it.result.server, kIncarnation);
      return true;
    });
  }

  const Options options_;
  Route route_;
  std::vector<std::unique_ptr<Host>> hosts_;
  Instant now_{kStart};
  ServerNotice notice_;
  double due_ = 0;
  uint64_t last_id_ = 0;
  int refused_ = 0;
  std::vector<Instant> arrivals_;
  std::vector<Running> running_;
};

}  // namespace

TEST_CASE("a server that names a limit gets no more from all hosts together") {
  Fleet::Options options;
  options.hosts = GENERATE(1, 2, 7, 24, 100);
  options.limit = GENERATE(0.0, 0.5, 2.0, 2.6, 20.0);
  options.objects = GENERATE(0, 20);
  options.reports = GENERATE(false, true);
  Fleet fleet(options);
  fleet.Run(Duration(3'000));
  CHECK(fleet.Arrived(Instant(kStart), fleet.now()) > 0);
  const Instant named_at = fleet.now();
  ServerNotice notice;
  notice.limit = options.limit;
  fleet.SetNotice(notice);
  fleet.Run(Duration(20'000));
  INFO(options.hosts << " hosts, limit " << options.limit);
  CHECK(fleet.MostArrived(named_at + Duration(kSettledMs)) <=
        Fleet::MaxAllowed(options.limit));
}

TEST_CASE("hosts that know different lists of hosts keep a server's limit") {
  Fleet::Options options;
  options.hosts = 24;
  options.limit = GENERATE(0.5, 2.0, 5.0);
  Fleet fleet(options);
  // One host in three is unknown to all but itself.
  fleet.Introduce(0, 16);
  ServerNotice notice;
  notice.limit = options.limit;
  fleet.SetNotice(notice);
  fleet.Run(Duration(20'000));
  CHECK(fleet.MostArrived(Instant(kStart + kSettledMs)) <=
        Fleet::MaxAllowed(options.limit));
}

TEST_CASE("a server is used again after it names no limit any more") {
  Fleet::Options options;
  options.limit = GENERATE(0.0, 2.0);
  // Also if the hosts that own its limit have no requests.
  options.busy_host = GENERATE(-1, 0, 3, 6);
  options.requests = 60;
  Fleet fleet(options);
  ServerNotice notice;
  notice.limit = options.limit;
  fleet.SetNotice(notice);
  fleet.Run(Duration(10'000));
  fleet.SetNotice({});
  fleet.Run(Duration(25'000));
  const Instant ended = fleet.now();
  fleet.Run(Duration(4'000));
  INFO("limit " << options.limit << ", busy " << options.busy_host);
  CHECK(fleet.Arrived(ended, fleet.now()) > Fleet::MaxAllowed(options.limit));
}

TEST_CASE("a limit that is not valid changes nothing") {
  Fleet::Options options;
  Fleet fleet(options);
  ServerNotice notice;
  notice.limit = 2;
  fleet.SetNotice(notice);
  fleet.Run(Duration(3'000));
  ServerNotice malformed;
  malformed.limit_malformed = true;
  fleet.SetNotice(malformed);
  fleet.Run(Duration(20'000));
  CHECK(fleet.MostArrived(Instant(kStart + kSettledMs)) <=
        Fleet::MaxAllowed(2));
}

TEST_CASE("a response that crossed one with a limit does not end the limit") {
  ServerLimits limits;
  ServerNotice named;
  named.limit = 3;
  limits.OnNotice(1, named, Instant(100), Instant(200));
  CHECK(limits.TakeNews());
  limits.OnNotice(1, {}, Instant(150), Instant(250));
  CHECK(limits.LimitOf(1) == 3);
  // An older report of another host changes nothing, a newer one does.
  limits.OnReport({1, 9, Instant(190)});
  CHECK(limits.LimitOf(1) == 3);
  limits.OnReport({1, 4, Instant(210)});
  CHECK(limits.LimitOf(1) == 4);
  CHECK_FALSE(limits.TakeNews());
  limits.OnNotice(1, {}, Instant(300), Instant(400));
  CHECK_FALSE(limits.LimitOf(1));
  REQUIRE(limits.OwnStatements(Instant(500)).size() == 1);
  CHECK_FALSE(limits.OwnStatements(Instant(500)).front().limit);
  // A report from before the end does not bring it back.
  limits.OnReport({1, 4, Instant(390)});
  CHECK_FALSE(limits.LimitOf(1));
}

TEST_CASE("reports of very many limits fit into a datagram") {
  ServerLimits limits;
  ServerNotice notice;
  for (uint32_t it = 0; it < 1'000; ++it) {
    notice.limit = it;
    limits.OnNotice(it, notice, Instant(0), Instant(1'000 + it));
  }
  const auto own = limits.OwnStatements(Instant(2'000));
  REQUIRE(own.size() == ServerLimits::kMaxReported);
  for (const ServerLimits::Statement& it : own)
    CHECK(it.server >= 1'000 - ServerLimits::kMaxReported);
}

TEST_CASE("a limit next to zero is none at all") {
  Fleet::Options options;
  options.limit = 1e-300;
  Fleet fleet(options);
  ServerNotice notice;
  notice.limit = options.limit;
  fleet.SetNotice(notice);
  fleet.Run(Duration(20'000));
  CHECK(fleet.MostArrived(Instant(kStart + kSettledMs)) <=
        Fleet::MaxAllowed(0));
}

TEST_CASE("no host sends to a server after it has told that host it leaves") {
  Fleet::Options options;
  options.hosts = GENERATE(1, 7, 60);
  options.objects = GENERATE(0, 20);
  Fleet fleet(options);
  fleet.Run(Duration(2'000));
  ServerNotice notice;
  notice.leaving = true;
  fleet.SetNotice(notice);
  // Every host hears of it, then the server says no more.
  fleet.Run(Duration(2'000));
  fleet.SetNotice({});
  const Instant heard = fleet.now();
  const int before = fleet.refused();
  fleet.Run(Duration(20'000));
  CHECK(fleet.Arrived(heard, fleet.now()) == 0);
  CHECK(fleet.refused() == before);
}

TEST_CASE("a server that asked for a pause gets nothing until it ends") {
  ServerEntry entry;
  entry.id = ServerId("i-0");
  entry.service = ServiceId("s");
  entry.zone = ZoneId("z");
  entry.slots = 4;
  entry.incarnation = 1;
  ServerRegistry registry([](ServerChange, const ServerRegistry::Server&) {});
  Placer placer({HostId("h"), ZoneId("z"), RegionId("r"), {}}, registry,
                Instant(kStart));
  Route route;
  route.name = "r";
  route.target_latency = Duration(400);
  uint64_t last_id = 0;
  const auto offer = [&](Instant now) {
    PlacementRequest request;
    request.id = ++last_id;
    request.route = &route;
    request.service = ServiceId("s");
    request.target = now + Duration(400);
    request.deadline = now + Duration(1'500);
    return placer.Offer(request, now);
  };
  const auto finish = [&](std::optional<Duration> pause, Instant now) {
    PlacedAttemptResult result;
    result.request_id = last_id;
    result.end =
        pause ? ServerAttemptEnd::kRefused : ServerAttemptEnd::kAnswered;
    result.notice = ServerNotice();
    result.notice->pause = pause;
    placer.Finish(result, now);
  };
  registry.OnEntry(entry, Instant(kStart));
  const Instant begin(kStart + 1'000);
  const PlacementStep send = PlacementStep::kSend;
  REQUIRE(offer(begin).step == send);
  const uint64_t in_flight = last_id;
  REQUIRE(offer(begin).step == send);
  finish(Duration(5'000), begin);
  // A response to an earlier request does not end the pause, nor does a shorter
  // one, nor an entry that lapses and comes back.
  PlacedAttemptResult earlier;
  earlier.request_id = in_flight;
  earlier.notice = ServerNotice();
  earlier.notice->pause = Duration(100);
  placer.Finish(earlier, begin + Duration(10));
  registry.OnRemoved(entry.id, begin + Duration(20));
  placer.ForgetServer(entry.id);
  // An entry that comes back is a later heartbeat.
  ++entry.sequence;
  registry.OnEntry(entry, begin + Duration(30));
  for (int64_t ms = 50; ms < 5'000; ms += 50) {
    const Placement out = offer(begin + Duration(ms));
    CHECK(out.step == PlacementStep::kRefuse);
    // The caller is told when the server accepts requests again.
    CHECK(out.retry_after >= Duration(5'000 - ms));
    CHECK(out.retry_after <= std::max(Duration(5'000 - ms), Duration(400)));
  }
  CHECK(offer(begin + Duration(5'000)).step == send);
  finish(Duration(600'000), begin + Duration(5'000));
  CHECK(offer(begin + Duration(6'000)).step == PlacementStep::kRefuse);
  // Another incarnation knows nothing of the pause.
  entry.incarnation = 2;
  placer.ForgetServer(entry.id);
  registry.OnEntry(entry, begin + Duration(6'500));
  CHECK(offer(begin + Duration(7'000)).step == send);
}

TEST_CASE("a server that asked for a pause is left out, others are not") {
  Fleet::Options options;
  options.hosts = 7;
  Fleet fleet(options);
  fleet.Run(Duration(2'000));
  ServerNotice notice;
  notice.pause = Duration(4'000);
  fleet.SetNotice(notice);
  fleet.Run(Duration(1'000));
  // Each host hears of it for itself, and may have one request on the way.
  const Instant heard = fleet.now();
  const int before = fleet.refused();
  fleet.Run(Duration(2'500));
  CHECK(fleet.Arrived(heard, fleet.now()) == 0);
  CHECK(fleet.refused() == before);
}

}  // namespace toucanknot
