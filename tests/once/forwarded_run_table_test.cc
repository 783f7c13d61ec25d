#include "include/once/forwarded_run_table.h"

#include <catch2/catch.hpp>

#include <memory>

namespace toucanknot {
namespace {

constexpr Duration kKeep{100};
constexpr uint64_t kBody = 11;
const ForwardedRunId kPass{{HostId("a"), 2}, {5, 1}};

ForwardedRunTable NewTable() {
  return ForwardedRunTable({kKeep, 10},
                           std::make_shared<ResponseCache>(10'000, kKeep));
}

}  // namespace

TEST_CASE("a forwarded request that arrives twice runs once") {
  ForwardedRunTable table = NewTable();
  const TicketReply first = table.Begin(kPass, kBody, 1, Instant(0));
  CHECK(first.step == TicketStep::kStart);
  CHECK(table.Begin(kPass, kBody, 2, Instant(0)).step == TicketStep::kJoin);
  RunRecords& runs = table.RunsOf(kPass.owner);
  const auto attempt = runs.HandOver(first.run);
  REQUIRE(attempt);
  const RunEnd end = runs.Answer(
      *attempt, std::make_shared<CachedResponse>(CachedResponse{200, "", "ok"}),
      Instant(1));
  CHECK(end.waiters == std::vector<uint64_t>{1, 2});
  CHECK(table.Begin(kPass, kBody, 3, Instant(1)).step == TicketStep::kAnswer);
  CHECK(table.Ask(kPass, true, 4, Instant(1)).step == TicketStep::kAnswer);
}

TEST_CASE("another attempt of the same ticket is a separate forwarding") {
  ForwardedRunTable table = NewTable();
  table.Begin(kPass, kBody, 1, Instant(0));
  CHECK(table.Void(kPass, Instant(0)).verdict == Verdict::kNotRun);
  ForwardedRunId second = kPass;
  second.attempt.number = 2;
  CHECK(table.Begin(second, kBody, 2, Instant(0)).step == TicketStep::kStart);
  CHECK(table.Begin(kPass, kBody, 3, Instant(0)).step == TicketStep::kNotRun);
}

TEST_CASE("an owner's query voids a request that has not arrived") {
  ForwardedRunTable table = NewTable();
  CHECK(table.Ask(kPass, false, 1, Instant(0)).step == TicketStep::kNotRun);
  CHECK(table.Begin(kPass, kBody, 2, Instant(0)).step == TicketStep::kNotRun);
}

TEST_CASE(
    "an owner that gives up voids a queued request, not one that was sent") {
  ForwardedRunTable table = NewTable();
  const TicketReply first = table.Begin(kPass, kBody, 1, Instant(0));
  CHECK(table.Ask(kPass, false, 2, Instant(0)).step == TicketStep::kJoin);
  ForwardedRunTable sent = table;
  CHECK(table.Ask(kPass, true, 3, Instant(0)).step == TicketStep::kNotRun);
  CHECK_FALSE(table.RunsOf(kPass.owner).HandOver(first.run));
  sent.RunsOf(kPass.owner).HandOver(first.run);
  CHECK(sent.Ask(kPass, true, 3, Instant(0)).step == TicketStep::kJoin);
}

TEST_CASE("records of forwarded requests expire") {
  ForwardedRunTable table = NewTable();
  table.Begin(kPass, kBody, 1, Instant(0));
  table.Void(kPass, Instant(0));
  table.Expire(Instant(0) + kKeep - Duration(1));
  CHECK(table.size() == 1);
  table.Expire(Instant(0) + kKeep);
  CHECK(table.size() == 0);
}

}  // namespace toucanknot
