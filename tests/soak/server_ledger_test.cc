#include "soak/server_ledger.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "soak/server_program.h"

namespace toucanknot::soak {

TEST_CASE("a ledger returns each complete event once, of all its writers") {
  const std::string path =
      (std::filesystem::temp_directory_path() / "toucanknot-ledger-test")
          .string();
  std::remove(path.c_str());
  ServerLedger reader(path);
  ServerLedger writer(path);
  writer.Append({ServerLedger::EventKind::kRan, "s-0", Instant(7), 0xabc, "a"});
  // A process that was killed in a write.
  std::ofstream(path, std::ios::app) << "R s-1 8 f";
  std::vector<ServerLedger::Event> events = reader.ReadNew();
  REQUIRE(events.size() == 1);
  CHECK(events[0].kind == ServerLedger::EventKind::kRan);
  CHECK(events[0].server == "s-0");
  CHECK(events[0].time == Instant(7));
  CHECK(events[0].digest == 0xabc);
  CHECK(events[0].id == "a");
  std::ofstream(path, std::ios::app) << "f b\n";
  events = reader.ReadNew();
  REQUIRE(events.size() == 1);
  CHECK(events[0].digest == 0xff);
  CHECK(reader.ReadNew().empty());
  std::remove(path.c_str());
}

TEST_CASE("a server process gets its options as they are") {
  ServerProgramOptions it;
  it.id = "server-1-0";
  it.endpoint = {"127.0.0.1", 9};
  it.faulty_until_ms = 123;
  it.early_rejection = 0.5;
  it.slot_holding = 0.25;
  const ServerProgramOptions copy = ServerProgramOptions::FromJson(it.ToJson());
  CHECK(copy.ToJson() == it.ToJson());
  CHECK(copy.endpoint == it.endpoint);
  CHECK(copy.early_rejection == 0.5);
  CHECK(copy.slot_holding == 0.25);
}

}  // namespace toucanknot::soak
