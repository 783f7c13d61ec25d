#include "include/health/health_table.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>

namespace toucanknot {
namespace {

ServerId Name(int i) {
  return ServerId("s" + std::to_string(i));
}

std::vector<ServerId> Names(int n) {
  std::vector<ServerId> out;
  for (int i = 0; i < n; ++i)
    out.push_back(Name(i));
  return out;
}

HealthTable Table(int n, Tunables tunables = {}) {
  HealthTable table(tunables);
  table.SetServers(Names(n), Instant(0));
  return table;
}

ServerResponseSample Response(int i,
                              ResponseOutcome outcome,
                              Instant now,
                              Duration took = Duration(10)) {
  return {.server = Name(i),
          .outcome = outcome,
          .took = took,
          .sent_at = now - took};
}

void Fail(HealthTable* table, int i, int times, Instant now) {
  for (int n = 0; n < times; ++n)
    table->OnResponse(Response(i, ResponseOutcome::kFailure, now), now);
}

// Runs the two trials that end an ejection, at `now`.
void PassTrials(HealthTable* table, int i, Instant now) {
  for (int n = 0; n < 2; ++n) {
    REQUIRE(table->TrialDue(Name(i), now));
    table->BeginTrial(Name(i), now);
    CHECK_FALSE(table->TrialDue(Name(i), now));
    table->OnResponse({.server = Name(i), .sent_at = now}, now);
  }
}

}  // namespace

TEST_CASE("failures in a row first raise doubt, then eject") {
  HealthTable table = Table(4);
  const Instant now(1'000);
  CHECK(table.Weight(Name(0), now) == 1);
  Fail(&table, 0, 2, now);
  CHECK(table.StateOf(Name(0)) == ServerState::kSuspect);
  CHECK(table.Weight(Name(0), now) < 0.5);
  Fail(&table, 0, 3, now);
  CHECK(table.StateOf(Name(0)) == ServerState::kEjected);
  CHECK(table.Weight(Name(0), now) == 0);
}

TEST_CASE("a server with a high failure share is ejected") {
  HealthTable table = Table(4);
  for (int64_t ms = 1; ms < 400; ++ms) {
    const auto outcome =
        ms % 4 == 0 ? ResponseOutcome::kSuccess : ResponseOutcome::kFailure;
    table.OnResponse(Response(0, outcome, Instant(ms * 10)), Instant(ms * 10));
  }
  CHECK(table.StateOf(Name(0)) == ServerState::kEjected);
}

TEST_CASE("no signals, true or false, eject more than max_ejected_share") {
  const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U);
  std::mt19937 random(seed);
  Tunables tunables;
  tunables.max_ejected_share = 0.25;
  HealthTable table = Table(12, tunables);
  for (int64_t ms = 0; ms < 60'000; ms += 50) {
    const Instant now(ms);
    for (int i = 0; i < 12; ++i) {
      if (random() % 3 == 0)
        Fail(&table, i, 3, now);
      table.OnProbe({.server = Name(i), .healthy = random() % 8 == 0}, now);
      table.OnPeerView({.server = Name(i)}, now);
    }
    table.Advance(now);
    REQUIRE(table.ejected() <= 3);
  }
  CHECK(table.ejected() == 3);
}

TEST_CASE("a single server is never ejected") {
  HealthTable table = Table(1);
  Fail(&table, 0, 100, Instant(1'000));
  CHECK(table.Weight(Name(0), Instant(1'000)) > 0);
}

TEST_CASE("only the host's own trials bring an ejected server back") {
  HealthTable table = Table(4);
  Fail(&table, 0, 5, Instant(10'000));
  REQUIRE(table.StateOf(Name(0)) == ServerState::kEjected);
  // Old and new reports, peer views, and responses to earlier requests.
  for (int64_t ms = 10'000; ms < 60'000; ms += 500) {
    const Instant now(ms);
    table.OnProbe({.server = Name(0), .age = Duration(4'000)}, now);
    table.OnProbe({.server = Name(0)}, now);
    table.OnPeerView({.server = Name(0), .state = ServerState::kWarm}, now);
    table.OnResponse({.server = Name(0), .sent_at = Instant(9'999)}, now);
    table.Advance(now);
    REQUIRE(table.Weight(Name(0), now) == 0);
  }
  PassTrials(&table, 0, Instant(60'000));
  CHECK(table.StateOf(Name(0)) == ServerState::kCold);
  // Its share then grows slowly.
  CHECK(table.Weight(Name(0), Instant(60'000)) == Approx(0.1));
  CHECK(table.Weight(Name(0), Instant(65'000)) == Approx(0.55));
  table.Advance(Instant(70'000));
  CHECK(table.StateOf(Name(0)) == ServerState::kWarm);
}

TEST_CASE("a failed trial is followed by a longer ejection") {
  HealthTable table = Table(4);
  Fail(&table, 0, 5, Instant(20'000));
  Instant now(20'000);
  Duration last;
  for (int round = 0; round < 4; ++round) {
    const Instant since = now;
    while (!table.TrialDue(Name(0), now))
      now = now + Duration(100);
    CHECK(now - since > last);
    last = now - since;
    table.BeginTrial(Name(0), now);
    table.OnResponse({.server = Name(0),
                      .outcome = ResponseOutcome::kFailure,
                      .sent_at = now},
                     now);
  }
  CHECK(table.StateOf(Name(0)) == ServerState::kEjected);
}

TEST_CASE("unhealthy probes eject a server without successes") {
  HealthTable table = Table(4);
  for (int n = 0; n < 3; ++n) {
    table.OnProbe({.server = Name(0), .healthy = false},
                  Instant(1'000 * (n + 1)));
  }
  CHECK(table.StateOf(Name(0)) == ServerState::kEjected);
}

TEST_CASE("unhealthy probes do not eject a server with successes") {
  HealthTable table = Table(4);
  for (int64_t ms = 0; ms < 10'000; ms += 100) {
    const Instant now(ms);
    table.OnResponse(Response(0, ResponseOutcome::kSuccess, now), now);
    if (ms % 1'000 == 0)
      table.OnProbe({.server = Name(0), .healthy = false}, now);
  }
  CHECK(table.ejected() == 0);
  CHECK(table.Weight(Name(0), Instant(10'000)) > 0);
}

TEST_CASE("a healthy but slow server gets a small share") {
  HealthTable table = Table(6);
  for (int64_t ms = 0; ms < 3'000; ms += 20) {
    const Instant now(ms);
    for (int i = 0; i < 6; ++i) {
      const Duration took(i == 5 ? 400 : 20);
      table.OnResponse(Response(i, ResponseOutcome::kSuccess, now, took), now);
      table.OnProbe({.server = Name(i)}, now);
    }
    table.Advance(now);
  }
  CHECK(table.StateOf(Name(5)) == ServerState::kSuspect);
  CHECK(table.Weight(Name(5), Instant(3'000)) < 0.1);
  CHECK(table.Weight(Name(0), Instant(3'000)) == 1);
  // It becomes as fast as the others.
  for (int64_t ms = 3'000; ms < 20'000; ms += 50) {
    const Instant now(ms);
    table.OnResponse(Response(5, ResponseOutcome::kSuccess, now, Duration(20)),
                     now);
    table.Advance(now);
  }
  CHECK(table.Weight(Name(5), Instant(20'000)) == 1);
}

TEST_CASE("a service that slows down as a whole has no outlier") {
  HealthTable table = Table(6);
  for (int64_t ms = 0; ms < 3'000; ms += 20) {
    for (int i = 0; i < 6; ++i) {
      table.OnResponse(Response(i, ResponseOutcome::kSuccess, Instant(ms),
                                Duration(20 + ms / 5)),
                       Instant(ms));
    }
    table.Advance(Instant(ms));
  }
  for (int i = 0; i < 6; ++i)
    CHECK(table.Weight(Name(i), Instant(3'000)) == 1);
}

TEST_CASE(
    "a peer's ejection only makes a server suspect, own successes clear it") {
  HealthTable table = Table(4);
  table.OnPeerView({.server = Name(0), .age = Duration(200)}, Instant(5'000));
  CHECK(table.StateOf(Name(0)) == ServerState::kSuspect);
  // Fewer own failures eject a server that a peer has ejected.
  HealthTable other = Table(4);
  other.OnPeerView({.server = Name(0)}, Instant(5'000));
  Fail(&other, 0, 2, Instant(5'100));
  CHECK(other.StateOf(Name(0)) == ServerState::kEjected);
  for (int n = 0; n < 3; ++n)
    table.OnResponse(Response(0, ResponseOutcome::kSuccess, Instant(5'100)),
                     Instant(5'100));
  CHECK(table.StateOf(Name(0)) != ServerState::kSuspect);
  // An old view changes nothing.
  table.OnPeerView({.server = Name(1), .age = Duration(6'000)}, Instant(7'000));
  CHECK(table.StateOf(Name(1)) == ServerState::kWarm);
}

TEST_CASE("the first leaving signal of any source stops new work") {
  const Instant now(20'000);
  for (const auto source :
       {LeavingSource::kHostList, LeavingSource::kException}) {
    HealthTable table = Table(4);
    table.OnLeaving(Name(0), source, true, Duration(0), now);
    CHECK(table.Weight(Name(0), now) == 0);
    CHECK_FALSE(table.TrialDue(Name(0), now + Duration(60'000)));
  }
  HealthTable probe = Table(4);
  probe.OnProbe({.server = Name(0), .leaving = true}, now);
  CHECK(probe.Weight(Name(0), now) == 0);
  HealthTable response = Table(4);
  response.OnResponse({.server = Name(0), .sent_at = now, .leaving = true},
                      now);
  CHECK(response.Weight(Name(0), now) == 0);
  HealthTable peer = Table(4);
  peer.OnPeerView({.server = Name(0), .state = ServerState::kLeaving}, now);
  CHECK(peer.Weight(Name(0), now) == 0);
  // Also from the ejected state.
  HealthTable ejected = Table(4);
  Fail(&ejected, 0, 5, now);
  ejected.OnLeaving(Name(0), LeavingSource::kHostList, true, Duration(0), now);
  CHECK(ejected.StateOf(Name(0)) == ServerState::kLeaving);
}

TEST_CASE("a stale 'not leaving' does not bring a leaving server back") {
  HealthTable table = Table(4);
  table.OnProbe({.server = Name(0), .leaving = true}, Instant(20'000));
  // The host list lags and does not show it yet; older probes arrive late.
  for (int64_t ms = 20'000; ms < 29'000; ms += 100) {
    const Instant now(ms);
    table.OnLeaving(Name(0), LeavingSource::kHostList, false, Duration(0), now);
    table.OnLeaving(Name(0), LeavingSource::kException, false, Duration(0),
                    now);
    table.OnProbe({.server = Name(0), .age = Duration(2'000)}, now);
    table.OnResponse(Response(0, ResponseOutcome::kSuccess, now), now);
    table.Advance(now);
    REQUIRE(table.Weight(Name(0), now) == 0);
  }
  // Its own endpoint reports healthy well after the signal: it returns cold.
  table.OnProbe({.server = Name(0)}, Instant(30'000));
  CHECK(table.StateOf(Name(0)) == ServerState::kCold);
  CHECK(table.Weight(Name(0), Instant(30'000)) == Approx(0.1));
  // A peer repeats the old signal.
  table.OnPeerView({.server = Name(0),
                    .state = ServerState::kLeaving,
                    .age = Duration(11'000)},
                   Instant(31'000));
  CHECK(table.StateOf(Name(0)) == ServerState::kCold);
}

TEST_CASE("every source that reported leaving must withdraw it") {
  HealthTable table = Table(4);
  table.OnLeaving(Name(0), LeavingSource::kHostList, true, Duration(0),
                  Instant(20'000));
  table.OnLeaving(Name(0), LeavingSource::kException, true, Duration(0),
                  Instant(20'000));
  table.OnLeaving(Name(0), LeavingSource::kHostList, false, Duration(0),
                  Instant(40'000));
  CHECK(table.StateOf(Name(0)) == ServerState::kLeaving);
  table.OnLeaving(Name(0), LeavingSource::kException, false, Duration(0),
                  Instant(40'000));
  CHECK(table.StateOf(Name(0)) == ServerState::kCold);
}

TEST_CASE("leaving signals forwarded between hosts expire") {
  HealthTable a = Table(2);
  HealthTable b = Table(2);
  a.OnProbe({.server = Name(0), .leaving = true}, Instant(20'000));
  for (int64_t ms = 20'000; ms < 40'000; ms += 200) {
    const Instant now(ms);
    for (const ServerView& it : a.OwnView(now))
      b.OnPeerView(it, now);
    for (const ServerView& it : b.OwnView(now))
      a.OnPeerView(it, now);
    if (ms >= 32'000) {
      a.OnProbe({.server = Name(0)}, now);
      b.OnProbe({.server = Name(0)}, now);
    }
  }
  CHECK(a.StateOf(Name(0)) != ServerState::kLeaving);
  CHECK(b.StateOf(Name(0)) != ServerState::kLeaving);
}

TEST_CASE("servers of the first list start warm, later ones cold") {
  HealthTable table = Table(2);
  CHECK(table.StateOf(Name(0)) == ServerState::kWarm);
  std::vector<ServerId> more = Names(3);
  table.SetServers(more, Instant(50'000));
  CHECK(table.StateOf(Name(2)) == ServerState::kCold);
  CHECK(table.Weight(Name(2), Instant(50'000)) == Approx(0.1));
  CHECK(table.Weight(Name(0), Instant(50'000)) == 1);
  more.erase(more.begin());
  table.SetServers(more, Instant(51'000));
  CHECK(table.Weight(Name(0), Instant(51'000)) == 0);
}

TEST_CASE("each state change is reported once") {
  std::vector<std::string> seen;
  HealthTable table = Table(4);
  table.set_on_change(
      [&](const ServerId& server, ServerState from, ServerState to) {
        seen.push_back(server.str() + " " +
                       std::string(kServerStateNames.Name(from)) + " " +
                       std::string(kServerStateNames.Name(to)));
      });
  Fail(&table, 1, 9, Instant(1'000));
  CHECK(seen ==
        std::vector<std::string>{"s1 warm suspect", "s1 suspect ejected"});
  CHECK(table.Explain(Instant(1'500)).find("\"sign_age_ms\":500") !=
        std::string::npos);
}

}  // namespace toucanknot
