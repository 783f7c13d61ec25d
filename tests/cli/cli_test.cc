#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "include/config/active_config.h"
#include "include/store/change_writer.h"
#include "tests/cli/cli_fixture.h"

namespace toucanknot {
namespace {

using Words = std::vector<std::string>;

std::string HostStatusBody(const ActiveConfig& active) {
  return boost::json::serialize(boost::json::object{
      {"host", "h-1"},
      {"state", "serving"},
      {"config", ActiveConfigStatus(active, Instant(9'000))}});
}

ActiveConfig ActiveConfigAt(uint64_t version) {
  ActiveConfig active;
  FleetConfig config = *ParseFleetConfig(kSmallFleet, "test");
  config.defaults.max_queue = 77;
  active.Offer(MakeConfigCandidate(config, version), "store", Instant(1'000));
  return active;
}

}  // namespace

TEST_CASE("an invalid command line exits with 2 and makes no request") {
  CliFixture cli;
  TempFile bad("{\"regions\": 1, \"hots\": []}");
  for (const Words& it : std::vector<Words>{
           {},
           {"nonsense"},
           {"config"},
           {"config", "check"},
           {"config", "check", "/nowhere"},
           {"config", "check", bad.path()},
           {"config", "apply", bad.path(), "--reason", "r"},
           {"config", "show", "--bogus"},
           {"config", "show", "more"},
           {"config", "show"},
           {"config", "show", "--store", "host:1"},
           {"config", "show", "--timeout-ms", "0"},
           {"config", "show", "--store", "127.0.0.1:1", "--settings",
            bad.path()},
           {"default", "set", "max_queue", "-1x"},
           {"exception", "add", "max_queue=1", "--reason", "r"},
           {"exception", "add", "max_queue", "--service", "orders"},
           {"drain", "--reason", "r"},
           {"status"},
           {"explain"}}) {
    INFO((it.empty() ? "" : it.back()));
    CHECK(cli.RunBare(it) == 2);
    CHECK_FALSE(cli.err().empty());
  }
  CHECK(cli.store.calls().All() == 0);
  cli.RunBare({"config", "check", bad.path()});
  for (const char* it : {"regions: found 1", "hots: found an unknown key",
                         "services: found nothing", "hosts: found nothing"})
    CHECK(cli.Prints(it));
}

TEST_CASE(
    "a configuration is applied, shown, compared and listed in the history") {
  CliFixture cli;
  CHECK(cli.Run({"config", "show"}) == 2);
  cli.ApplyFirstConfig();
  CHECK(cli.Run({"config", "show"}) == 0);
  TempFile shown(cli.out());
  CHECK(cli.Run({"config", "diff", shown.path()}) == 0);
  CHECK(cli.Prints("no differences"));
  CHECK(cli.Run({"config", "apply", shown.path(), "--reason", "again"}) == 0);
  CHECK(cli.Prints("nothing to change"));
  CHECK(cli.Run({"default", "set", "max_queue", "9", "--reason", "spring"}) ==
        0);
  CHECK(cli.StoredConfig()->defaults.max_queue == 9);
  CHECK(cli.Run({"history"}) == 0);
  for (const char* it : {"spring", "default max_queue=9", "ana", "first"})
    CHECK(cli.Prints(it));
  // The file is based on version 1, which is no longer the current one.
  CHECK(cli.Run({"config", "apply", shown.path(), "--reason", "stale"}) == 3);
  CHECK(cli.Prints("defaults.max_queue"));
  CHECK(cli.Run({"config", "apply", shown.path(), "--reason", "back", "--base",
                 "2"}) == 0);
  CHECK(cli.StoredConfig()->version == 3);
}

TEST_CASE("a file without a version does not overwrite the configuration") {
  CliFixture cli;
  cli.ApplyFirstConfig();
  CHECK(cli.Run({"config", "apply", cli.fleet.path(), "--reason", "r"}) == 3);
  CHECK(cli.StoredConfig()->version == 1);
}

TEST_CASE("an exception is added, listed, expires and is removed") {
  CliFixture cli;
  cli.ApplyFirstConfig();
  CHECK(cli.Run({"exception", "add", "max_queue=9", "deadline_ms=50",
                 "--service", "orders", "--reason", "fair", "--ends", "+90m",
                 "--id", "fair"}) == 0);
  CHECK(cli.Run({"exception", "add", "max_queue=9", "--service", "orders",
                 "--reason", "again", "--id", "fair"}) == 2);
  CHECK(cli.Run({"exception", "list"}) == 0);
  CHECK(
      cli.Prints("fair: service orders, deadline_ms=50, max_queue=9, ends "
                 "1970-01-01T01:46:40Z"));
  cli.unix_ms_now += 90 * 60'000;
  CHECK(cli.Run({"exception", "list"}) == 0);
  CHECK(cli.Prints("(ended)"));
  CHECK(cli.Run({"default", "set", "max_queue", "8", "--reason", "r"}) == 0);
  CHECK(cli.StoredConfig()->exceptions.empty());
  CHECK(cli.Run({"history"}) == 0);
  CHECK(cli.Prints("exception fair ended at 1970-01-01T01:46:40Z (fair)"));
  CHECK(cli.Run({"exception", "retire", "fair", "--reason", "r"}) == 2);
}

TEST_CASE("a dry-run drain shows the effect; no service may be fully drained") {
  CliFixture cli;
  cli.ApplyFirstConfig();
  const Words drain = {"drain", "--region", "north", "--reason", "power"};
  Words dry = drain;
  dry.emplace_back("--dry-run");
  CHECK(cli.Run(dry) == 0);
  CHECK(cli.Prints("Stop receiving requests: host h-1; server s-1"));
  CHECK(cli.StoredConfig()->version == 1);
  CHECK(cli.Run(drain) == 0);
  CHECK(cli.StoredConfig()->exceptions[0].id == "drain-region-north");
  CHECK(cli.Run({"drain", "--server", "s-2", "--reason", "r"}) == 2);
  CHECK(cli.Prints("nowhere to go"));
  CHECK(cli.Run({"drain", "--server", "s-9", "--reason", "r"}) == 2);
  CHECK(cli.Run({"undrain", "--region", "south"}) == 2);
  CHECK(cli.Prints("drain-region-north"));
  CHECK(cli.Run({"undrain", "--region", "north"}) == 0);
  CHECK(cli.StoredConfig()->exceptions.empty());
}

TEST_CASE("a dry run shows the changed tunables by place") {
  CliFixture cli;
  cli.ApplyFirstConfig();
  CHECK(cli.Run({"exception", "add", "max_queue=9", "--host", "h-2", "--reason",
                 "r", "--dry-run", "--json"}) == 0);
  const auto preview = boost::json::parse(cli.out());
  REQUIRE(preview.at("tunables").as_array().size() == 1);
  const auto& change = preview.at("tunables").at(0);
  CHECK(change.at("key") == "max_queue");
  CHECK(change.at("before") == "512");
  CHECK(change.at("after") == "9");
  CHECK(change.at("places") == boost::json::array{"orders at h-2"});
}

TEST_CASE(
    "of two concurrent changes, the rejected one shows both differences") {
  CliFixture cli;
  cli.ApplyFirstConfig();
  bool done = false;
  cli.script = [&](int call) {
    // Commit another change between this command's read and its swap.
    if (call == 1 && !done) {
      done = true;
      const RootSnapshot base = ReadRootSnapshot(cli.store);
      FleetConfig config = *ReadConfig(cli.store);
      config.defaults.max_queue = 3;
      ChangeWriter(cli.store).Write(
          base, {NewChangeId(base.revision, 99), ChangeKind::kDefaultSet, "bea",
                 0, "hers", "default max_queue=3", WriteFleetConfig(config)});
    }
    return CallFault::kNone;
  };
  CHECK(cli.Run({"default", "set", "max_queue", "4", "--reason", "r"}) == 3);
  for (const char* it :
       {"by bea", "(hers)", "defaults.max_queue: added 3",
        "defaults.max_queue: added 4", "nothing was overwritten"})
    CHECK(cli.Prints(it));
  CHECK(cli.StoredConfig()->defaults.max_queue == 3);
}

TEST_CASE("each store outcome has its own exit code") {
  CliFixture cli;
  cli.ApplyFirstConfig();
  const Words set = {"default", "set", "max_queue", "4", "--reason", "r"};
  const auto fail_swaps = [&](CallFault fault) {
    cli.script = [fault](int call) {
      return call == 0 ? CallFault::kNone : fault;
    };
    return cli.Run(set);
  };
  CHECK(fail_swaps(CallFault::kDown) == 5);
  CHECK(cli.Prints("nothing was changed"));
  CHECK(fail_swaps(CallFault::kLostBefore) == 4);
  const std::string text = cli.err();
  const size_t at = text.find("--change ") + 9;
  const std::string id = text.substr(at, text.find('\n', at) - at);
  cli.script = [](int) { return CallFault::kNone; };
  CHECK(cli.Run({"history", "--change", id}) == 4);
  CHECK(cli.Run(set) == 0);
  CHECK(cli.Run({"history", "--change", id}) == 3);
  cli.store.SetDown(true);
  CHECK(cli.Run({"config", "show"}) == 5);
}

TEST_CASE("status shows each host's version, rejections and an older store") {
  CliFixture cli;
  cli.ApplyFirstConfig();
  ActiveConfig active = ActiveConfigAt(1);
  cli.responses["127.0.0.1:9/status"] = HostStatusBody(active);
  const Words status = {"status", "--admin", "127.0.0.1:9"};
  CHECK(cli.Run(status) == 0);
  CHECK(cli.Prints("version 1 since 8 s"));
  FleetConfig bad = *active.current();
  bad.defaults.drain = true;
  active.Offer(MakeConfigCandidate(bad, 3), "h-2", Instant(5'000));
  active.OnStoreVersion(0, Instant(6'000));
  cli.responses["127.0.0.1:9/status"] = HostStatusBody(active);
  CHECK(cli.Run(status) == 0);
  CHECK(cli.Prints("the store has the older version 0"));
  CHECK(
      cli.Prints("rejected version 3 from h-2 4 s ago: version 3: "
                 "defaults.drain"));
  Words two = status;
  two.insert(two.end(), {"--admin", "127.0.0.1:10"});
  CHECK(cli.Run(two) == 1);
  CHECK(cli.Prints("no response: 127.0.0.1:10: refused"));
  cli.store.SetDown(true);
  CHECK(cli.Run(status) == 1);
  CHECK(cli.Prints("h-1"));
}

TEST_CASE("a store with an outdated configuration is restored from a host") {
  CliFixture cli;
  cli.ApplyFirstConfig();
  const ActiveConfig active = ActiveConfigAt(7);
  cli.responses["127.0.0.1:9/status"] = HostStatusBody(active);
  cli.responses["127.0.0.1:9/v1/config"] =
      WriteConfigCandidate(active.candidate());
  // Hosts with a newer version would reject the change.
  CHECK(cli.Run({"default", "set", "max_queue", "4", "--reason", "r", "--admin",
                 "127.0.0.1:9"}) == 3);
  CHECK(cli.Prints("host h-1 has version 7, the store 1"));
  CHECK(cli.Run({"config", "restore", "--reason", "backup of noon",
                 "--from-host", "127.0.0.1:9", "--above", "9"}) == 0);
  CHECK(cli.StoredConfig()->version == 10);
  CHECK(cli.StoredConfig()->defaults.max_queue == 77);
  CHECK(cli.Run({"config", "restore", "--reason", "r", "--from-host",
                 "127.0.0.1:9"}) == 2);
}

TEST_CASE("text that is not UTF-8 is not written to the store") {
  CliFixture cli;
  cli.ApplyFirstConfig();
  const std::string latin = "caf\xE9";
  CHECK(cli.Run({"default", "set", "max_queue", "4", "--reason", latin}) == 2);
  CHECK(cli.Run({"drain", "--server", "s-1", "--reason", latin}) == 2);
  CHECK(cli.Run({"exception", "add", "max_queue=4", "--service", "orders",
                 "--reason", "r", "--id", latin}) == 2);
  CHECK(cli.Run({"default", "set", "max_queue", "4", "--reason",
                 "caf\u00E9"}) == 0);
  const RootSnapshot base = ReadRootSnapshot(cli.store);
  CHECK_THROWS_AS(ChangeWriter(cli.store).Write(
                      base, {NewChangeId(base.revision, 1), ChangeKind::kApply,
                             latin, 0, "r", "s", base.root.config_text}),
                  MalformedRootError);
  CHECK(cli.StoredConfig() != nullptr);
}

TEST_CASE("a store that lost its data is not treated as a new one") {
  CliFixture cli;
  cli.ApplyFirstConfig();
  cli.Run({"config", "show"});
  TempFile shown(cli.out());
  cli.store.Restore({});
  CHECK(cli.Run({"config", "apply", shown.path(), "--reason", "r"}) == 3);
  CHECK(cli.Run({"config", "restore", "--from-file", shown.path(), "--reason",
                 "lost"}) == 0);
  CHECK(cli.StoredConfig()->version == 2);
}

TEST_CASE("settings set defaults; the token is sent only to hosts") {
  CliFixture cli;
  cli.ApplyFirstConfig();
  TempFile settings(R"({"store": "127.0.0.1:1", // the platform's
    "author": "eva", "admins": ["127.0.0.1:9"], "admin_token": "s3cret",
    "json": true})");
  cli.responses["127.0.0.1:9/v1/explain?service=a%20b&client=1.2.3.4"] =
      R"({"host": "h-1"})";
  CHECK(cli.RunBare({"explain", "--service", "a b", "--client", "1.2.3.4",
                     "--settings", settings.path()}) == 0);
  REQUIRE(cli.last_request.fields.size() == 1);
  CHECK(cli.last_request.fields[0].value == "Bearer s3cret");
  CHECK(cli.RunBare({"status", "--settings", settings.path()}) == 1);
  CHECK_FALSE(cli.Prints("s3cret"));
  CHECK(cli.RunBare({"default", "set", "max_queue", "4", "--reason", "r",
                     "--settings", settings.path()}) == 0);
  CHECK(boost::json::parse(cli.out()).at("outcome") == "landed");
  CHECK(ReadRootSnapshot(cli.store).root.audit_log[0].author == "eva");
}

TEST_CASE("every command has help") {
  CliFixture cli;
  CHECK(cli.RunBare({"help"}) == 0);
  for (const CliCommand& it : OperatorCommands()) {
    Words words;
    std::istringstream names(it.name);
    for (std::string name; names >> name;)
      words.push_back(name);
    words.emplace_back("--help");
    CHECK(cli.RunBare(words) == 0);
    CHECK(cli.Prints(it.help));
    for (const CliOption& option : it.options)
      CHECK(cli.Prints("--" + option.name));
  }
}

}  // namespace toucanknot
