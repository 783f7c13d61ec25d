// Up to which time the host can prove that it knows all changes. Guards against
// proofs by watches that the store dropped, and by responses that say nothing
// about the time of their call: requests with removed keys would run.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <optional>
#include <string>
#include <thread>

#include "platform/platform_store.h"
#include "tests/platform/store_standin.h"

namespace toucanknot::platform {
namespace {

constexpr Duration kRevokeWithin{5'000};

void Sleep(Duration d) {
  std::this_thread::sleep_for(std::chrono::milliseconds(d.ms()));
}

std::string Config(int version) {
  return R"({"version":"r)" + std::to_string(version) +
         R"(","routes":{},"services":{},"limits":{"max_header_bytes":16384,)"
         R"("max_body_bytes":1000,"header_timeout":"3s","idle_timeout":"15s"}})";
}

// A PlatformStore on its own loop, whose configuration and proof are read
// together.
struct Fixture {
  struct State {
    ConfigVersion version;
    std::optional<Instant> proven_at;
  };

  explicit Fixture(std::optional<Duration> revoke_within = kRevokeWithin)
      : store(loop, standin.endpoint(), {Duration(2'500), revoke_within}, 1) {
    thread = std::thread([this] { loop.run(); });
  }
  ~Fixture() {
    loop.stop();
    thread.join();
  }

  void Start() {
    FleetStoreListener listener;
    listener.config = [this](RouteConfigPtr c) { version = c->version; };
    listener.zone_evacuated = listener.zone_restored = [](const ZoneId&) {};
    listener.evacuations_listed = [](const std::set<ZoneId>&) {};
    listener.server = [](const ServerEntry&) {};
    listener.server_removed = [](const ServerId&) {};
    listener.servers_listed = [](const std::set<ServerId>&) {};
    listener.host = [](const HostRecord&) {};
    listener.host_removed = [](const HostId&) {};
    listener.hosts_listed = [](const std::set<HostId>&) {};
    boost::asio::post(loop, [this, listener] { store.Start(listener); });
  }
  State Read() {
    std::promise<State> out;
    boost::asio::post(loop, [&] {
      out.set_value({version, store.counts().proven_at});
    });
    return out.get_future().get();
  }
  bool WaitUntil(const std::function<bool(const State&)>& check) {
    for (int i = 0; i < 1'000; ++i) {
      if (check(Read()))
        return true;
      Sleep(Duration(10));
    }
    return false;
  }

  StoreStandin standin;
  boost::asio::io_context loop;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard{loop.get_executor()};
  PlatformStore store;
  std::thread thread;
  ConfigVersion version;
};

}  // namespace

TEST_CASE("a read proves the state at the time at which it was sent") {
  Fixture it;
  CHECK_FALSE(it.Read().proven_at);
  it.standin.Put("op/config", Config(3));
  constexpr Duration kDelay{400};
  it.standin.SetDelay(kDelay);
  const Instant before = BootNow();
  it.Start();
  REQUIRE(it.WaitUntil([](const auto& s) { return s.proven_at.has_value(); }));
  const Fixture::State state = it.Read();
  CHECK(state.version == 3);
  CHECK(*state.proven_at >= before);
  CHECK(*state.proven_at <= BootNow() - kDelay);
}

TEST_CASE("watches without changes keep the proof recent") {
  Fixture it;
  it.Start();
  REQUIRE(it.WaitUntil([](const auto& s) { return s.proven_at.has_value(); }));
  const bool changing = GENERATE(false, true);
  int rounds = 0;
  Duration oldest;
  for (const Instant end = BootNow() + Duration(6'000); BootNow() < end;) {
    oldest = std::max(oldest, BootNow() - *it.Read().proven_at);
    // Changes end watches early, and are batched.
    if (changing && ++rounds % 37 == 0)
      it.standin.Put("elsewhere", std::to_string(rounds));
    Sleep(Duration(20));
  }
  // A watch proves the time of its sending. Two watches must wait for 1.05 s
  // each, slightly more than 0.4 of the time for which a proof counts.
  CHECK(oldest >= Duration(1'050));
  CHECK(oldest <= kRevokeWithin * 46 / 100);
  CHECK(it.standin.CountCalls("GET /v1/kv-range") == 1);
  CHECK(it.standin.CountCalls("GET /v1/kv-watch") <= 8);
}

TEST_CASE("a change is known wherever the proof is later than it") {
  // A proof that is later than the acknowledgement of a change that the host
  // does not know would let a removed key pass.
  Fixture it;
  it.standin.Put("op/config", Config(1));
  it.Start();
  REQUIRE(it.WaitUntil([](const auto& s) { return s.version == 1; }));
  for (int version = 2; version <= 12; ++version) {
    it.standin.Put("op/config", Config(version));
    const Instant acknowledged = BootNow();
    if (version == 6)
      it.standin.Compact();
    for (const Instant end = BootNow() + Duration(version * 60);
         BootNow() < end;) {
      const Fixture::State state = it.Read();
      if (state.proven_at && *state.proven_at > acknowledged)
        CHECK(state.version == static_cast<uint64_t>(version));
      Sleep(Duration(3));
    }
  }
}

TEST_CASE("a watch that the store drops proves nothing") {
  Fixture it;
  it.standin.Put("op/config", Config(1));
  it.Start();
  REQUIRE(it.WaitUntil([](const auto& s) { return s.version == 1; }));
  it.standin.DropWatches();
  it.standin.Put("op/config", Config(2));
  const Instant acknowledged = BootNow();
  REQUIRE(it.WaitUntil([&](const auto& s) {
    CHECK((*s.proven_at <= acknowledged || s.version == 2));
    return s.version == 2;
  }));
  CHECK(
      it.WaitUntil([&](const auto& s) { return *s.proven_at > acknowledged; }));
}

TEST_CASE("calls without a sound response prove nothing") {
  Fixture it;
  it.standin.Put("op/config", Config(1));
  it.Start();
  REQUIRE(it.WaitUntil([](const auto& s) { return s.version == 1; }));
  const bool silent = GENERATE(false, true);
  if (silent)
    it.standin.SetSilent(true);
  else
    it.standin.RejectWith(503);
  // A response to a watch from before may be under way.
  Sleep(Duration(50));
  const Instant cut = BootNow();
  Sleep(Duration(2'500));
  CHECK(*it.Read().proven_at <= cut);
  it.standin.SetSilent(false);
  it.standin.RejectWith(0);
  const Instant back = BootNow();
  CHECK(it.WaitUntil([&](const auto& s) { return *s.proven_at >= back; }));
}

TEST_CASE("while watches are not trusted, only reads prove anything") {
  // A watch that begins while the store fails may deliver nothing and report
  // no error.
  Fixture it;
  it.Start();
  REQUIRE(it.WaitUntil([](const auto& s) { return s.proven_at.has_value(); }));
  it.standin.RejectWith(503);
  Sleep(Duration(1'300));
  it.standin.RejectWith(0);
  const Instant back = BootNow();
  REQUIRE(it.WaitUntil([&](const auto& s) { return *s.proven_at >= back; }));
  const int reads = it.standin.CountCalls("GET /v1/kv-range");
  std::optional<Instant> last = it.Read().proven_at;
  int proofs = 0;
  for (const Instant end = back + Duration(3'000); BootNow() < end;) {
    const auto now = it.Read().proven_at;
    proofs += now != last ? 1 : 0;
    last = now;
    Sleep(Duration(10));
  }
  CHECK(proofs >= 2);
  CHECK(it.standin.CountCalls("GET /v1/kv-range") - reads >= proofs);
}

TEST_CASE("short watches without changes prove nothing") {
  // Before it loses its history, the store may report no changes for a second.
  Fixture it(std::nullopt);
  it.standin.Put("op/config", Config(1));
  it.Start();
  REQUIRE(it.WaitUntil([](const auto& s) { return s.version == 1; }));
  Sleep(Duration(200));
  it.standin.Put("op/config", Config(2));
  REQUIRE(it.WaitUntil([](const auto& s) { return s.version == 2; }));
  // The watch after a delay waits for 700 ms only.
  const auto proven_at = it.Read().proven_at;
  REQUIRE(it.WaitUntil([&](const auto&) {
    return it.standin.CountCalls("GET /v1/kv-watch") >= 3;
  }));
  CHECK(it.Read().proven_at == proven_at);
}

}  // namespace toucanknot::platform
