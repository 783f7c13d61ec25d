#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "include/config/active_config.h"
#include "include/store/change_writer.h"
#include "tests/cli/cli_fixture.h"

namespace toucanknot {
namespace {

using Words = std::vector<std::string>;

std::string HostResponse(const ActiveConfig& holder) {
  return boost::json::serialize(boost::json::object{
      {"host", "h-1"},
      {"state", "serving"},
      {"config", ActiveConfigStatus(holder, Instant(9'000))}});
}

ActiveConfig HolderAt(uint64_t version) {
  ActiveConfig holder;
  FleetConfig config = *ParseFleetConfig(kSmallFleet, "test");
  config.defaults.max_queue = 77;
  holder.Offer(MakeConfigCandidate(config, version), "store", Instant(1'000));
  return holder;
}

}  // namespace

TEST_CASE("a command line that is not valid ends with 2 and asks nothing") {
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
    CHECK(cli.Says(it));
}

TEST_CASE("a configuration is applied, shown, compared and told of") {
  CliFixture cli;
  CHECK(cli.Run({"config", "show"}) == 2);
  cli.Begin();
  CHECK(cli.Run({"config", "show"}) == 0);
  TempFile shown(cli.out());
  CHECK(cli.Run({"config", "diff", shown.path()}) == 0);
  CHECK(cli.Says("no differences"));
  CHECK(cli.Run({"config", "apply", shown.path(), "--reason", "again"}) == 0);
  CHECK(cli.Says("nothing to change"));
  CHECK(cli.Run({"default", "set", "max_queue", "9", "--reason", "spring"}) ==
        0);
  CHECK(cli.InForce()->defaults.max_queue == 9);
  CHECK(cli.Run({"history"}) == 0);
  for (const char* it : {"spring", "default max_queue=9", "ana", "first"})
    CHECK(cli.Says(it));
  // The copy was made from version 1, which is no longer in force.
  CHECK(cli.Run({"config", "apply", shown.path(), "--reason", "stale"}) == 3);
  CHECK(cli.Says("defaults.max_queue"));
  CHECK(cli.Run({"config", "apply", shown.path(), "--reason", "back", "--base",
                 "2"}) == 0);
  CHECK(cli.InForce()->version == 3);
}

TEST_CASE("a file that does not say its version overwrites nothing") {
  CliFixture cli;
  cli.Begin();
  CHECK(cli.Run({"config", "apply", cli.fleet.path(), "--reason", "r"}) == 3);
  CHECK(cli.InForce()->version == 1);
}

TEST_CASE("an exception is added, listed, ends by itself and is moved out") {
  CliFixture cli;
  cli.Begin();
  CHECK(cli.Run({"exception", "add", "max_queue=9", "deadline_ms=50",
                 "--service", "orders", "--reason", "fair", "--ends", "+90m",
                 "--id", "fair"}) == 0);
  CHECK(cli.Run({"exception", "add", "max_queue=9", "--service", "orders",
                 "--reason", "again", "--id", "fair"}) == 2);
  CHECK(cli.Run({"exception", "list"}) == 0);
  CHECK(
      cli.Says("fair: service orders, deadline_ms=50, max_queue=9, ends "
               "1970-01-01T01:46:40Z"));
  cli.now += 90 * 60'000;
  CHECK(cli.Run({"exception", "list"}) == 0);
  CHECK(cli.Says("(ended)"));
  CHECK(cli.Run({"default", "set", "max_queue", "8", "--reason", "r"}) == 0);
  CHECK(cli.InForce()->exceptions.empty());
  CHECK(cli.Run({"history"}) == 0);
  CHECK(cli.Says("exception fair ended at 1970-01-01T01:46:40Z (fair)"));
  CHECK(cli.Run({"exception", "retire", "fair", "--reason", "r"}) == 2);
}

TEST_CASE("a drain shows beforehand who stops, and may not strand a service") {
  CliFixture cli;
  cli.Begin();
  const Words drain = {"drain", "--region", "north", "--reason", "power"};
  Words dry = drain;
  dry.emplace_back("--dry-run");
  CHECK(cli.Run(dry) == 0);
  CHECK(cli.Says("Get no more work: host h-1; server s-1"));
  CHECK(cli.InForce()->version == 1);
  CHECK(cli.Run(drain) == 0);
  CHECK(cli.InForce()->exceptions[0].id == "drain-region-north");
  CHECK(cli.Run({"drain", "--server", "s-2", "--reason", "r"}) == 2);
  CHECK(cli.Says("nowhere to go"));
  CHECK(cli.Run({"drain", "--server", "s-9", "--reason", "r"}) == 2);
  CHECK(cli.Run({"undrain", "--region", "south"}) == 2);
  CHECK(cli.Says("drain-region-north"));
  CHECK(cli.Run({"undrain", "--region", "north"}) == 0);
  CHECK(cli.InForce()->exceptions.empty());
}

TEST_CASE("a dry run names the tunables that change by place") {
  CliFixture cli;
  cli.Begin();
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

TEST_CASE("two operators at once: the loser sees both differences") {
  CliFixture cli;
  cli.Begin();
  bool done = false;
  cli.script = [&](int call) {
    // Before the swap that follows the read.
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
    CHECK(cli.Says(it));
  CHECK(cli.InForce()->defaults.max_queue == 3);
}

TEST_CASE("each outcome of the store has its exit code") {
  CliFixture cli;
  cli.Begin();
  const Words set = {"default", "set", "max_queue", "4", "--reason", "r"};
  const auto fail_swaps = [&](CallFault fault) {
    cli.script = [fault](int call) {
      return call == 0 ? CallFault::kNone : fault;
    };
    return cli.Run(set);
  };
  CHECK(fail_swaps(CallFault::kDown) == 5);
  CHECK(cli.Says("nothing was changed"));
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

TEST_CASE("status shows each host's version, refusals and an older store") {
  CliFixture cli;
  cli.Begin();
  ActiveConfig holder = HolderAt(1);
  cli.answers["127.0.0.1:9/status"] = HostResponse(holder);
  const Words status = {"status", "--admin", "127.0.0.1:9"};
  CHECK(cli.Run(status) == 0);
  CHECK(cli.Says("version 1 since 8 s"));
  FleetConfig bad = *holder.current();
  bad.defaults.drain = true;
  holder.Offer(MakeConfigCandidate(bad, 3), "h-2", Instant(5'000));
  holder.OnStoreVersion(0, Instant(6'000));
  cli.answers["127.0.0.1:9/status"] = HostResponse(holder);
  CHECK(cli.Run(status) == 0);
  CHECK(cli.Says("the store has the older version 0"));
  CHECK(
      cli.Says("refused version 3 from h-2 4 s ago: version 3: "
               "defaults.drain"));
  Words two = status;
  two.insert(two.end(), {"--admin", "127.0.0.1:10"});
  CHECK(cli.Run(two) == 1);
  CHECK(cli.Says("no answer: 127.0.0.1:10: refused"));
  cli.store.SetDown(true);
  CHECK(cli.Run(status) == 1);
  CHECK(cli.Says("h-1"));
}

TEST_CASE("a store that came back older is brought up from a host") {
  CliFixture cli;
  cli.Begin();
  const ActiveConfig holder = HolderAt(7);
  cli.answers["127.0.0.1:9/status"] = HostResponse(holder);
  cli.answers["127.0.0.1:9/v1/config"] =
      WriteConfigCandidate(holder.candidate());
  // While hosts have a newer version, a change would be refused by them.
  CHECK(cli.Run({"default", "set", "max_queue", "4", "--reason", "r", "--admin",
                 "127.0.0.1:9"}) == 3);
  CHECK(cli.Says("host h-1 has version 7, the store 1"));
  CHECK(cli.Run({"config", "restore", "--reason", "backup of noon",
                 "--from-host", "127.0.0.1:9", "--above", "9"}) == 0);
  CHECK(cli.InForce()->version == 10);
  CHECK(cli.InForce()->defaults.max_queue == 77);
  CHECK(cli.Run({"config", "restore", "--reason", "r", "--from-host",
                 "127.0.0.1:9"}) == 2);
}

TEST_CASE("text that is not UTF-8 never reaches the root") {
  CliFixture cli;
  cli.Begin();
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
  CHECK(cli.InForce() != nullptr);
}

TEST_CASE("a store that has lost everything is not taken for a new one") {
  CliFixture cli;
  cli.Begin();
  cli.Run({"config", "show"});
  TempFile shown(cli.out());
  cli.store.Restore({});
  CHECK(cli.Run({"config", "apply", shown.path(), "--reason", "r"}) == 3);
  CHECK(cli.Run({"config", "restore", "--from-file", shown.path(), "--reason",
                 "lost"}) == 0);
  CHECK(cli.InForce()->version == 2);
}

TEST_CASE("settings give defaults; the token goes to hosts and nowhere else") {
  CliFixture cli;
  cli.Begin();
  TempFile settings(R"({"store": "127.0.0.1:1", // the platform's
    "author": "eva", "admins": ["127.0.0.1:9"], "admin_token": "s3cret",
    "json": true})");
  cli.answers["127.0.0.1:9/v1/explain?service=a%20b&client=1.2.3.4"] =
      R"({"host": "h-1"})";
  CHECK(cli.RunBare({"explain", "--service", "a b", "--client", "1.2.3.4",
                     "--settings", settings.path()}) == 0);
  REQUIRE(cli.last_call.fields.size() == 1);
  CHECK(cli.last_call.fields[0].value == "Bearer s3cret");
  CHECK(cli.RunBare({"status", "--settings", settings.path()}) == 1);
  CHECK_FALSE(cli.Says("s3cret"));
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
    CHECK(cli.Says(it.help));
    for (const CliOption& option : it.options)
      CHECK(cli.Says("--" + option.name));
  }
}

}  // namespace toucanknot
