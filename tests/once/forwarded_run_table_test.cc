#include "include/once/forwarded_run_table.h"

#include <catch2/catch.hpp>

#include <memory>

namespace toucanknot {
namespace {

constexpr Duration kKeep{100};
constexpr uint64_t kBody = 11;
const ForwardedRunId kForwardedRun{{HostId("a"), 2}, {5, 1}};

ForwardedRunTable NewTable() {
  return ForwardedRunTable({kKeep, 10},
                           std::make_shared<ResponseCache>(10'000, kKeep));
}

}  // namespace

TEST_CASE("a forwarded request that arrives twice runs once") {
  ForwardedRunTable table = NewTable();
  const TicketReply first = table.Begin(kForwardedRun, kBody, 1, Instant(0));
  CHECK(first.step == TicketStep::kStart);
  CHECK(table.Begin(kForwardedRun, kBody, 2, Instant(0)).step ==
        TicketStep::kJoin);
  RunRecords& runs = table.RunsOf(kForwardedRun.owner);
  const auto attempt = runs.HandOver(first.run);
  REQUIRE(attempt);
  const RunEnd end = runs.RecordResponse(
      *attempt, std::make_shared<CachedResponse>(CachedResponse{200, "", "ok"}),
      Instant(1));
  CHECK(end.waiters == std::vector<uint64_t>{1, 2});
  CHECK(table.Begin(kForwardedRun, kBody, 3, Instant(1)).step ==
        TicketStep::kDeliverResponse);
  CHECK(table.Query(kForwardedRun, true, 4, Instant(1)).step ==
        TicketStep::kDeliverResponse);
}

TEST_CASE("another attempt of the same ticket is a separate forwarding") {
  ForwardedRunTable table = NewTable();
  table.Begin(kForwardedRun, kBody, 1, Instant(0));
  CHECK(table.Void(kForwardedRun, Instant(0)).verdict == Verdict::kNotRun);
  ForwardedRunId second = kForwardedRun;
  second.attempt.number = 2;
  CHECK(table.Begin(second, kBody, 2, Instant(0)).step == TicketStep::kStart);
  CHECK(table.Begin(kForwardedRun, kBody, 3, Instant(0)).step ==
        TicketStep::kNotRun);
}

TEST_CASE("an owner's query voids a request that has not arrived") {
  ForwardedRunTable table = NewTable();
  CHECK(table.Query(kForwardedRun, false, 1, Instant(0)).step ==
        TicketStep::kNotRun);
  CHECK(table.Begin(kForwardedRun, kBody, 2, Instant(0)).step ==
        TicketStep::kNotRun);
}

TEST_CASE(
    "an owner that gives up voids a queued request, not one that was sent") {
  ForwardedRunTable table = NewTable();
  const TicketReply first = table.Begin(kForwardedRun, kBody, 1, Instant(0));
  CHECK(table.Query(kForwardedRun, false, 2, Instant(0)).step ==
        TicketStep::kJoin);
  ForwardedRunTable sent = table;
  CHECK(table.Query(kForwardedRun, true, 3, Instant(0)).step ==
        TicketStep::kNotRun);
  CHECK_FALSE(table.RunsOf(kForwardedRun.owner).HandOver(first.run));
  sent.RunsOf(kForwardedRun.owner).HandOver(first.run);
  CHECK(sent.Query(kForwardedRun, true, 3, Instant(0)).step ==
        TicketStep::kJoin);
}

TEST_CASE("records of forwarded requests expire") {
  ForwardedRunTable table = NewTable();
  table.Begin(kForwardedRun, kBody, 1, Instant(0));
  table.Void(kForwardedRun, Instant(0));
  table.Expire(Instant(0) + kKeep - Duration(1));
  CHECK(table.size() == 1);
  table.Expire(Instant(0) + kKeep);
  CHECK(table.size() == 0);
}

}  // namespace toucanknot
