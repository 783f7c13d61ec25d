// Which requests may run with which API keys. Guards against requests that run
// with a key that was removed, at hosts that do not know of the removal, and
// against denials of keys that a newer configuration may hold.

#include "include/workspaces/access_control.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucanknot {
namespace {

constexpr Duration kRevokeWithin{5'000};

Workspace MakeWorkspace(const std::string& id,
                        std::vector<std::string> keys,
                        double rate = 0) {
  Workspace out;
  out.id = WorkspaceId(id);
  out.api_keys = std::move(keys);
  out.rate = rate;
  return out;
}

struct Fixture {
  explicit Fixture(std::optional<Duration> revoke_within = kRevokeWithin)
      : access({revoke_within, [this] { return proven_at; },
                [this] { return unreachable; }},
               caps) {}

  void Configure(std::vector<Workspace> workspaces) {
    auto config = std::make_shared<RouteConfig>();
    config->version = ++version;
    config->workspaces = std::move(workspaces);
    access.OnConfig(config);
  }
  // A request that begins at `began`, at that time.
  AccessControl::Decision Admit(const std::string& key, Instant began) {
    return access.Admit(route, key, {began, began}, began);
  }
  AccessRefusal Refusal(const std::string& key, Instant began) {
    return Admit(key, began).refusal;
  }

  uint64_t version = 0;
  std::optional<Instant> proven_at = Instant(100'000);
  bool unreachable = false;
  Route route;
  UsageCaps caps{{}, Instant(0)};
  AccessControl access;
};

const Instant kProof{100'000};

}  // namespace

TEST_CASE("a key belongs to the workspace of the newest configuration") {
  KeyDirectory keys;
  CHECK_FALSE(keys.required());
  CHECK(keys.Find("a1") == nullptr);
  auto config = std::make_shared<RouteConfig>();
  const std::string long_key(4'000, 'k');
  config->workspaces = {MakeWorkspace("a", {"a1", "a2"}),
                        MakeWorkspace("b", {long_key})};
  keys.OnConfig(config);
  CHECK(keys.required());
  CHECK(keys.size() == 3);
  REQUIRE(keys.Find("a2") != nullptr);
  CHECK(keys.Find("a1")->id == WorkspaceId("a"));
  CHECK(keys.Find(long_key)->id == WorkspaceId("b"));
  for (const std::string& other :
       {std::string(), std::string("a"), std::string("a1 "), std::string("A1"),
        std::string("a1\0", 3), long_key.substr(1)}) {
    CHECK(keys.Find(other) == nullptr);
  }
  const WorkspacePtr found = keys.Find("a1");
  auto next = std::make_shared<RouteConfig>();
  next->workspaces = {MakeWorkspace("b", {"a1"})};
  keys.OnConfig(next);
  CHECK(keys.Find("a1")->id == WorkspaceId("b"));
  CHECK(keys.Find("a2") == nullptr);
  CHECK(keys.size() == 1);
  config.reset();
  // Requests keep the workspace of an earlier configuration.
  CHECK(found->id == WorkspaceId("a"));
}

TEST_CASE("a configuration without workspaces needs no key") {
  Fixture it;
  it.proven_at.reset();
  it.Configure({});
  it.route.allowed_regions = {RegionId("r")};
  const auto decision = it.Admit("", kProof);
  CHECK(decision.refusal == AccessRefusal::kNone);
  CHECK(decision.allowed_regions == std::vector{RegionId("r")});
  CHECK(it.access.IsProven(kProof));
  CHECK(it.access.MayStillRun(it.route, "", decision, {kProof, kProof}));
}

// An empty table of workspaces was taken for one that is not there.
TEST_CASE("no request runs on a table without workspaces") {
  Fixture it;
  it.Configure({MakeWorkspace("a", {"a1"})});
  const auto admitted = it.Admit("a1", kProof);
  REQUIRE(admitted.refusal == AccessRefusal::kNone);
  auto config = std::make_shared<RouteConfig>();
  config->keys_required = true;
  it.access.OnConfig(config);
  for (const char* key : {"a1", "unknown", ""})
    CHECK(it.Refusal(key, kProof) == AccessRefusal::kUnknownKey);
  CHECK_FALSE(
      it.access.MayStillRun(it.route, "a1", admitted, {kProof, kProof}));
  it.proven_at.reset();
  CHECK_FALSE(it.access.IsProven(kProof));
  CHECK(it.Refusal("a1", kProof) == AccessRefusal::kUnproven);
}

TEST_CASE("a request runs only if it began within the proof's time") {
  Fixture it;
  it.Configure({MakeWorkspace("a", {"a1"})});
  const Instant last = kProof + kRevokeWithin;
  CHECK(it.Refusal("a1", kProof - Duration(9'000)) == AccessRefusal::kNone);
  CHECK(it.Refusal("a1", last) == AccessRefusal::kNone);
  CHECK(it.Refusal("a1", last + Duration(1)) == AccessRefusal::kUnproven);
  CHECK(it.access.IsProven(last));
  CHECK_FALSE(it.access.IsProven(last + Duration(1)));
  // A request that began in time may still be sent after the proof's end.
  const auto decision = it.Admit("a1", last);
  CHECK(it.access.MayStillRun(it.route, "a1", decision,
                              {last, last + Duration(4'000)}));
  CHECK(it.Admit("a1", last + Duration(1)).retry_after > Duration(0));
  it.proven_at = last;
  CHECK(it.Refusal("a1", last + Duration(1)) == AccessRefusal::kNone);
  it.proven_at.reset();
  CHECK(it.Refusal("a1", kProof) == AccessRefusal::kUnproven);
}

TEST_CASE("after a suspension an old proof does not count") {
  // The boot clock has gone on, so that the request begins late.
  Fixture it;
  it.Configure({MakeWorkspace("a", {"a1"})});
  CHECK(it.Refusal("a1", kProof + Duration(60'000)) ==
        AccessRefusal::kUnproven);
  CHECK(it.Refusal("unknown", kProof + Duration(60'000)) ==
        AccessRefusal::kUnproven);
}

TEST_CASE("a key is unknown only while no newer configuration can hold it") {
  Fixture it;
  it.Configure({MakeWorkspace("a", {"a1"})});
  CHECK(it.Refusal("b1", kProof + Duration(3'000)) ==
        AccessRefusal::kUnknownKey);
  CHECK(it.Refusal("", kProof) == AccessRefusal::kUnknownKey);
  CHECK(it.Refusal("b1", kProof + Duration(3'001)) == AccessRefusal::kUnproven);
  it.unreachable = true;
  CHECK(it.Refusal("b1", kProof) == AccessRefusal::kUnproven);
  CHECK(it.Refusal("a1", kProof) == AccessRefusal::kNone);
  it.proven_at.reset();
  CHECK(it.Refusal("b1", kProof) == AccessRefusal::kUnproven);
}

TEST_CASE("without a time for revocation, known keys need no proof") {
  Fixture it(std::nullopt);
  it.Configure({MakeWorkspace("a", {"a1"})});
  it.proven_at.reset();
  CHECK(it.Refusal("a1", kProof) == AccessRefusal::kNone);
  CHECK(it.Refusal("b1", kProof) == AccessRefusal::kUnproven);
}

TEST_CASE("public routes are served without key and without proof") {
  Fixture it;
  it.Configure({MakeWorkspace("a", {"a1"})});
  it.route.is_public = true;
  const Instant late = kProof + Duration(60'000);
  for (const char* key : {"", "a1", "unknown"}) {
    const auto decision = it.Admit(key, late);
    CHECK(decision.refusal == AccessRefusal::kNone);
    CHECK(decision.workspace == nullptr);
    CHECK(it.access.MayStillRun(it.route, key, decision, {late, late}));
  }
  // A known key still names the workspace; its removal does not stop a request
  // that needs no key.
  const auto decision = it.Admit("a1", kProof);
  REQUIRE(decision.workspace != nullptr);
  it.Configure({MakeWorkspace("b", {"b1"})});
  CHECK(it.access.MayStillRun(it.route, "a1", decision, {kProof, kProof}));
}

TEST_CASE("a key that is removed while a request waits stops the request") {
  Fixture it;
  it.Configure({MakeWorkspace("a", {"a1", "a2"})});
  const auto decision = it.Admit("a1", kProof);
  const AccessControl::Times times{kProof, kProof + Duration(10)};
  CHECK(it.access.MayStillRun(it.route, "a1", decision, times));
  SECTION("removed") {
    it.Configure({MakeWorkspace("a", {"a2"})});
    CHECK_FALSE(it.access.MayStillRun(it.route, "a1", decision, times));
  }
  SECTION("moved to another workspace") {
    it.Configure({MakeWorkspace("b", {"a1"})});
    CHECK_FALSE(it.access.MayStillRun(it.route, "a1", decision, times));
  }
  SECTION("the workspace's regions changed") {
    Workspace moved = MakeWorkspace("a", {"a1"});
    moved.allowed_regions = {RegionId("r2")};
    it.Configure({moved});
    CHECK_FALSE(it.access.MayStillRun(it.route, "a1", decision, times));
  }
  SECTION("other changes") {
    it.Configure({MakeWorkspace("a", {"a1", "a3"}, 7)});
    CHECK(it.access.MayStillRun(it.route, "a1", decision, times));
  }
}

TEST_CASE("the regions of route and workspace both bind") {
  Fixture it;
  Workspace workspace = MakeWorkspace("a", {"a1"});
  const RegionId r1("r1");
  const RegionId r2("r2");
  const RegionId r3("r3");
  workspace.allowed_regions = {r1, r2};
  workspace.priority = 0;
  it.Configure({workspace});
  const auto regions = [&] { return it.Admit("a1", kProof).allowed_regions; };
  CHECK(regions() == std::vector{r1, r2});
  it.route.allowed_regions = {r3, r2};
  CHECK(regions() == std::vector{r2});
  it.route.allowed_regions = {r3};
  CHECK(it.Refusal("a1", kProof) == AccessRefusal::kNoRegion);
  it.route.allowed_regions.clear();
  CHECK(it.Admit("a1", kProof).workspace->priority == 0);
}

TEST_CASE("runs count towards the cap, and those that were not run do not") {
  Fixture it;
  it.Configure({MakeWorkspace("a", {"a1"}, 2)});
  std::vector<AccessControl::Decision> admitted;
  for (;;) {
    const auto decision = it.Admit("a1", kProof);
    if (decision.refusal != AccessRefusal::kNone) {
      CHECK(decision.refusal == AccessRefusal::kOverCap);
      CHECK(decision.retry_after > Duration(0));
      break;
    }
    admitted.push_back(decision);
  }
  CHECK(admitted.size() >= 10);
  CHECK(it.access.Explain(it.route, "a1", {kProof, kProof}, kProof).refusal ==
        AccessRefusal::kOverCap);
  CHECK_FALSE(it.access.AdmitAgain(admitted[0], kProof));
  const Instant sent = kProof + Duration(1'000);
  it.access.OnRun(admitted[0], sent);
  CHECK(admitted[0].counted_at == sent);
  it.access.Refund(admitted[0], sent);
  CHECK(it.access.AdmitAgain(admitted[1], sent));
  // Explaining counts nothing.
  it.access.Refund(admitted[1], sent);
  for (int i = 0; i < 100; ++i)
    it.access.Explain(it.route, "a1", {sent, sent}, sent);
  CHECK(it.Refusal("a1", sent) == AccessRefusal::kNone);
}

}  // namespace toucanknot
