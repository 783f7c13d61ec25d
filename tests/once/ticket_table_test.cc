#include "include/once/ticket_table.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

namespace toucanknot {
namespace {

constexpr Duration kLifetime{100};
constexpr Duration kKeep{300};
constexpr uint64_t kBody = 11;
constexpr uint64_t kOtherBody = 12;

CachedResponsePtr ResponseOf(const std::string& body) {
  return std::make_shared<CachedResponse>(CachedResponse{200, "", body});
}

struct Owner {
  explicit Owner(size_t max_records = 10, int64_t cache_bytes = 10'000)
      : cache(std::make_shared<ResponseCache>(cache_bytes, kKeep)),
        table(std::make_unique<TicketIssuer>(HostIncarnation{HostId("a"), 1},
                                             TicketKey{},
                                             Instant(0)),
              {kKeep, max_records},
              cache) {}

  std::string Issue(Instant now = Instant(0)) {
    return table.Issue(kLifetime, now).ToString();
  }
  TicketReply Begin(const std::string& text, Instant now = Instant(1)) {
    return table.Begin(text, kBody, ++waiter, now);
  }
  TicketReply Query(const std::string& text, Instant now = Instant(1)) {
    return table.Query(text, kBody, ++waiter, now);
  }
  // Runs a new ticket, with `body` as its response.
  std::string RunOne(const std::string& body, Instant now = Instant(1)) {
    const std::string text = Issue(now);
    const auto attempt = table.runs().HandOver(Begin(text, now).run);
    table.runs().RecordResponse(*attempt, ResponseOf(body), now);
    return text;
  }

  std::shared_ptr<ResponseCache> cache;
  TicketTable table;
  uint64_t waiter = 0;
};

}  // namespace

TEST_CASE("a repeat joins the run and both get the same response") {
  Owner owner;
  const std::string text = owner.Issue();
  const TicketReply first = owner.Begin(text);
  REQUIRE(first.step == TicketStep::kStart);
  CHECK(owner.Begin(text).step == TicketStep::kJoin);
  CHECK(owner.Query(text).step == TicketStep::kJoin);
  const auto attempt = owner.table.runs().HandOver(first.run);
  REQUIRE(attempt);
  CHECK(owner.Begin(text).step == TicketStep::kJoin);
  const RunEnd end =
      owner.table.runs().RecordResponse(*attempt, ResponseOf("ok"), Instant(2));
  CHECK(end.accepted);
  CHECK(end.verdict == Verdict::kRan);
  CHECK(end.waiters == std::vector<uint64_t>{1, 2, 3, 4});
  const TicketReply again = owner.Begin(text);
  CHECK(again.step == TicketStep::kDeliverResponse);
  CHECK(again.response->body == "ok");
}

TEST_CASE("bytes are sent once; before that the target may still change") {
  Owner owner;
  const uint64_t run = owner.Begin(owner.Issue()).run;
  RunRecords& runs = owner.table.runs();
  CHECK(runs.MayChooseAgain(run));
  const auto attempt = runs.HandOver(run);
  REQUIRE(attempt);
  CHECK_FALSE(runs.MayChooseAgain(run));
  CHECK_FALSE(runs.HandOver(run));
  CHECK(runs.RecordBroken(*attempt, Instant(2)).verdict == Verdict::kUnknown);
  CHECK_FALSE(runs.HandOver(run));
  CHECK_FALSE(runs.TakeBack(*attempt));
}

TEST_CASE("a forwarded request that did not run there may be sent elsewhere") {
  Owner owner;
  const uint64_t run = owner.Begin(owner.Issue()).run;
  RunRecords& runs = owner.table.runs();
  const auto first = runs.HandOver(run);
  CHECK(runs.TakeBack(*first));
  const auto second = runs.HandOver(run);
  REQUIRE(second);
  CHECK(second->number == 2);
  // Calls for the first attempt no longer have any effect.
  CHECK_FALSE(
      runs.RecordResponse(*first, ResponseOf("late"), Instant(2)).accepted);
  CHECK_FALSE(runs.TakeBack(*first));
  CHECK(runs.RecordResponse(*second, ResponseOf("ok"), Instant(2)).accepted);
}

TEST_CASE("the number of attempts of a run is limited") {
  Owner owner;
  const uint64_t run = owner.Begin(owner.Issue()).run;
  for (uint32_t n = 1; n <= RunRecords::kMaxAttempts; ++n)
    CHECK(owner.table.runs().TakeBack(*owner.table.runs().HandOver(run)));
  CHECK_FALSE(owner.table.runs().HandOver(run));
}

TEST_CASE("an unused ticket that a peer queries never runs afterwards") {
  Owner owner;
  const std::string text = owner.Issue();
  CHECK(owner.Query(text).step == TicketStep::kNotRun);
  const TicketReply late = owner.Begin(text);
  CHECK(late.step == TicketStep::kNotRun);
  CHECK(late.verdict == Verdict::kNotRun);
  CHECK_FALSE(owner.table.runs().HandOver(late.run));
}

TEST_CASE("a rejection voids the ticket and replies to all waiters") {
  Owner owner;
  const std::string text = owner.Issue();
  const TicketReply first = owner.Begin(text);
  owner.Begin(text);
  const RunEnd end = owner.table.Void(*first.ticket, Instant(1));
  CHECK(end.verdict == Verdict::kNotRun);
  CHECK(end.waiters.size() == 2);
  CHECK(owner.Begin(text).step == TicketStep::kNotRun);
}

TEST_CASE("a run that was handed over cannot be voided by its owner") {
  Owner owner;
  const TicketReply first = owner.Begin(owner.Issue());
  owner.table.runs().HandOver(first.run);
  CHECK_FALSE(owner.table.Void(*first.ticket, Instant(1)).accepted);
}

TEST_CASE("a broken attempt is unknown until a late outcome arrives") {
  for (const bool ran : {true, false}) {
    Owner owner;
    const std::string text = owner.Issue();
    const auto attempt = owner.table.runs().HandOver(owner.Begin(text).run);
    owner.table.runs().RecordBroken(*attempt, Instant(2));
    CHECK(owner.Begin(text).step == TicketStep::kUnknown);
    const RunEnd end =
        ran ? owner.table.runs().RecordResponse(*attempt, ResponseOf("x"),
                                                Instant(3))
            : owner.table.runs().RecordNotRun(*attempt, nullptr, Instant(3));
    CHECK(end.accepted);
    CHECK(end.waiters.empty());
    CHECK(owner.Begin(text).step ==
          (ran ? TicketStep::kDeliverResponse : TicketStep::kNotRun));
  }
}

TEST_CASE(
    "another body under the same ticket is rejected, the first continues") {
  Owner owner;
  const std::string text = owner.Issue();
  const auto attempt = owner.table.runs().HandOver(owner.Begin(text).run);
  const TicketReply other = owner.table.Begin(text, kOtherBody, 99, Instant(1));
  CHECK(other.step == TicketStep::kMismatch);
  CHECK(owner.table.Query(text, kOtherBody, 98, Instant(1)).step ==
        TicketStep::kMismatch);
  const RunEnd end =
      owner.table.runs().RecordResponse(*attempt, ResponseOf("ok"), Instant(2));
  CHECK(end.waiters == std::vector<uint64_t>{1});
}

TEST_CASE(
    "forged, truncated and foreign tickets start nothing and use no memory") {
  Owner owner;
  const std::string text = owner.Issue();
  std::string forged = text;
  forged.back() = forged.back() == '0' ? '1' : '0';
  CHECK(owner.Begin(forged).step == TicketStep::kForged);
  CHECK(owner.Query(forged).step == TicketStep::kForged);
  CHECK(owner.Begin(text.substr(0, 30)).step == TicketStep::kMalformed);
  CHECK(owner.Begin("").verdict == Verdict::kUnknown);
  TicketIssuer other({HostId("a"), 2}, TicketKey{}, Instant(0));
  const TicketReply reply =
      owner.Begin(other.Issue(kLifetime, Instant(0)).ToString());
  CHECK(reply.step == TicketStep::kNotMine);
  CHECK(reply.ticket->owner.incarnation == 2);
  CHECK(owner.table.runs().size() == 0);
}

TEST_CASE("an expired ticket is not run only while no record was dropped") {
  Owner owner;
  const std::string unused = owner.Issue();
  const std::string used = owner.RunOne("ok");
  const Instant expired = Instant(1) + kLifetime;
  CHECK(owner.Begin(unused, expired).step == TicketStep::kNotRun);
  CHECK(owner.Begin(unused, expired).reason == TicketReason::kExpired);
  CHECK(owner.Begin(used, expired).step == TicketStep::kDeliverResponse);
  const Instant forgotten = expired + kKeep;
  owner.table.runs().Expire(forgotten);
  CHECK(owner.table.runs().size() == 0);
  for (const std::string& it : {unused, used}) {
    CHECK(owner.Begin(it, forgotten).step == TicketStep::kUnknown);
    CHECK(owner.Begin(it, forgotten).reason == TicketReason::kForgotten);
  }
}

TEST_CASE(
    "an unfinished run keeps its record and does not block expiry of others") {
  Owner owner;
  const std::string endless = owner.Issue();
  owner.Begin(endless);
  owner.RunOne("ok");
  const Instant later = Instant(1) + kLifetime + kKeep;
  owner.table.runs().Expire(later);
  CHECK(owner.table.runs().size() == 1);
  CHECK(owner.Begin(endless, later).step == TicketStep::kJoin);
}

TEST_CASE("a voided ticket stays void after its record is dropped") {
  Owner owner;
  const std::string text = owner.Issue();
  owner.Query(text);
  const Instant expired = Instant(1) + kLifetime;
  owner.table.runs().Expire(expired);
  CHECK(owner.table.runs().size() == 0);
  CHECK(owner.Begin(text, expired).step == TicketStep::kNotRun);
}

TEST_CASE("the record outlives its evicted response") {
  Owner owner(10, ResponseOf(std::string(100, 'x'))->bytes());
  const std::string first = owner.RunOne(std::string(100, 'x'));
  const std::string second = owner.RunOne(std::string(100, 'y'));
  CHECK(owner.Begin(first).step == TicketStep::kResponseGone);
  CHECK(owner.Begin(first).verdict == Verdict::kRan);
  CHECK(owner.Begin(second).step == TicketStep::kDeliverResponse);
  const std::string big = owner.RunOne(std::string(101, 'z'));
  CHECK(owner.Begin(big).step == TicketStep::kResponseGone);
  CHECK(owner.cache->evicted_for_space() == 2);
  owner.cache->Expire(Instant(1) + kKeep);
  CHECK(owner.cache->bytes() == 0);
  CHECK(owner.Begin(second).step == TicketStep::kResponseGone);
}

TEST_CASE("full records drop the oldest finished run and report it") {
  Owner owner(2);
  const std::string unused = owner.Issue();
  const std::string first = owner.RunOne("1");
  const std::string second = owner.RunOne("2");
  const std::string third = owner.RunOne("3");
  CHECK(owner.table.runs().size() == 2);
  CHECK(owner.Begin(first).step == TicketStep::kUnknown);
  CHECK(owner.Begin(unused).step == TicketStep::kUnknown);
  CHECK(owner.Begin(second).step == TicketStep::kDeliverResponse);
  CHECK(owner.Begin(third).step == TicketStep::kDeliverResponse);
}

TEST_CASE("dropped records of voided tickets still give not run") {
  Owner owner(2);
  const std::string unused = owner.Issue();
  std::vector<std::string> voided;
  for (int i = 0; i < 10; ++i) {
    voided.push_back(owner.Issue());
    CHECK(owner.Query(voided.back()).step == TicketStep::kNotRun);
  }
  CHECK(owner.table.runs().size() == 2);
  voided.push_back(unused);
  for (const std::string& it : voided)
    CHECK(owner.Begin(it).step == TicketStep::kNotRun);
}

TEST_CASE("when all records are of running requests, a new one never runs") {
  Owner owner(2);
  owner.Begin(owner.Issue());
  const uint64_t second = owner.Begin(owner.Issue()).run;
  const std::string third = owner.Issue();
  CHECK(owner.Begin(third).reason == TicketReason::kTableFull);
  const auto attempt = owner.table.runs().HandOver(second);
  owner.table.runs().RecordResponse(*attempt, ResponseOf("ok"), Instant(2));
  CHECK(owner.Begin(third).step == TicketStep::kNotRun);
  CHECK(owner.Begin(owner.Issue()).step == TicketStep::kStart);
}

TEST_CASE("a ticket with a witness is handed over only after its grant") {
  Owner owner;
  const std::string text =
      owner.table.Issue(kLifetime, Instant(0), HostIncarnation{HostId("w"), 3})
          .ToString();
  const uint64_t run = owner.Begin(text).run;
  CHECK_FALSE(owner.table.runs().HandOver(run));
  owner.table.runs().OnClaimGranted(run);
  CHECK(owner.table.runs().HandOver(run));
}

TEST_CASE("a closed table starts nothing and lists runs that may have run") {
  Owner owner;
  const std::string unused = owner.Issue();
  owner.RunOne("ok");
  const auto broken =
      owner.table.runs().HandOver(owner.Begin(owner.Issue()).run);
  owner.table.runs().RecordBroken(*broken, Instant(2));
  owner.table.Close();
  CHECK(owner.Begin(unused).reason == TicketReason::kClosed);
  CHECK(owner.Begin(unused).verdict == Verdict::kNotRun);
  const TicketHandoff handoff = owner.table.Close();
  REQUIRE(handoff.finished.size() == 2);
  CHECK(handoff.finished[0].verdict == Verdict::kRan);
  CHECK(handoff.finished[1].verdict == Verdict::kUnknown);
}

TEST_CASE("a removed waiter gets no response") {
  Owner owner;
  const std::string text = owner.Issue();
  const uint64_t run = owner.Begin(text).run;
  owner.Begin(text);
  CHECK(owner.table.runs().RemoveWaiter(run, 1) == 1);
  const auto attempt = owner.table.runs().HandOver(run);
  CHECK(owner.table.runs()
            .RecordResponse(*attempt, nullptr, Instant(2))
            .waiters == std::vector<uint64_t>{2});
}

}  // namespace toucanknot
