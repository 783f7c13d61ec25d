#include "include/once/witness_table.h"

#include <catch2/catch.hpp>

#include "include/once/owner_query.h"

namespace toucanknot {
namespace {

constexpr Duration kKeep{100};
constexpr Duration kKeepOwner{1'000};
const HostIncarnation kSelf{HostId("w"), 5};
const HostIncarnation kOwner{HostId("a"), 2};
const HostIncarnation kSuccessor{HostId("h"), 4};

Ticket TicketOf(uint64_t sequence) {
  Ticket ticket;
  ticket.owner = kOwner;
  ticket.sequence = sequence;
  ticket.witness = kSelf;
  return ticket;
}

WitnessTable NewTable(size_t max_records = 10) {
  return WitnessTable(kSelf, {kKeep, kKeepOwner, max_records});
}

OwnerQuery NewQuery(const Ticket& ticket, OwnerQuery::Options options = {}) {
  return {ticket, std::move(options), Instant(10'000)};
}

}  // namespace

TEST_CASE("the first of claim and query decides for good") {
  WitnessTable table = NewTable();
  CHECK(table.Claim(TicketOf(1), Instant(0)) == WitnessReply::kGranted);
  CHECK(table.Claim(TicketOf(1), Instant(0)) == WitnessReply::kGranted);
  CHECK(table.Query(TicketOf(1), Instant(0)) == WitnessReply::kClaimed);
  CHECK(table.Query(TicketOf(2), Instant(0)) == WitnessReply::kVoided);
  CHECK(table.Claim(TicketOf(2), Instant(0)) == WitnessReply::kVoided);
}

TEST_CASE("a witness reports how a claimed ticket ended") {
  WitnessTable table = NewTable();
  table.Claim(TicketOf(1), Instant(0));
  table.Claim(TicketOf(2), Instant(0));
  table.RecordOutcome(TicketOf(1), Verdict::kRan, Instant(0));
  table.RecordOutcome(TicketOf(2), Verdict::kNotRun, Instant(0));
  CHECK(table.Query(TicketOf(1), Instant(0)) == WitnessReply::kRan);
  CHECK(table.Query(TicketOf(2), Instant(0)) == WitnessReply::kVoided);
  CHECK(table.Claim(TicketOf(1), Instant(0)) == WitnessReply::kVoided);
}

TEST_CASE("another incarnation of the witness knows and grants nothing") {
  WitnessTable table({kSelf.host, kSelf.incarnation + 1}, {});
  CHECK(table.Claim(TicketOf(1), Instant(0)) == WitnessReply::kVoided);
  CHECK(table.Query(TicketOf(1), Instant(0)) == WitnessReply::kUnknown);
}

TEST_CASE("a ticket dropped by the witness is unknown and cannot be claimed") {
  WitnessTable by_time = NewTable();
  by_time.Claim(TicketOf(3), Instant(0));
  by_time.Expire(Instant(0) + kKeep);
  WitnessTable by_count = NewTable(1);
  by_count.Claim(TicketOf(3), Instant(0));
  by_count.Claim(TicketOf(4), Instant(0));
  WitnessTable by_owner = NewTable();
  by_owner.Claim(TicketOf(3), Instant(0));
  by_owner.Expire(Instant(0) + kKeepOwner);
  for (WitnessTable* it : {&by_time, &by_count, &by_owner}) {
    for (const uint64_t sequence : {2, 3}) {
      CHECK(it->Query(TicketOf(sequence), Instant(0)) ==
            WitnessReply::kUnknown);
      CHECK(it->Claim(TicketOf(sequence), Instant(0)) == WitnessReply::kVoided);
    }
  }
  CHECK(by_owner.size() == 0);
}

TEST_CASE("an owner hands over its records in a graceful stop") {
  WitnessTable table = NewTable();
  table.Claim(TicketOf(4), Instant(0));
  table.Claim(TicketOf(5), Instant(0));
  table.TakeOver(
      {kOwner,
       2,
       {{3, Verdict::kRan}, {4, Verdict::kUnknown}, {7, Verdict::kRan}}},
      Instant(0));
  CHECK(table.HasTakenOver(kOwner));
  CHECK(table.Query(TicketOf(2), Instant(0)) == WitnessReply::kUnknown);
  CHECK(table.Query(TicketOf(3), Instant(0)) == WitnessReply::kRan);
  CHECK(table.Query(TicketOf(4), Instant(0)) == WitnessReply::kClaimed);
  CHECK(table.Query(TicketOf(5), Instant(0)) == WitnessReply::kVoided);
  CHECK(table.Query(TicketOf(6), Instant(0)) == WitnessReply::kVoided);
  CHECK(table.Claim(TicketOf(6), Instant(0)) == WitnessReply::kVoided);
  Ticket without = TicketOf(7);
  without.witness.reset();
  CHECK(table.Query(without, Instant(0)) == WitnessReply::kRan);
}

TEST_CASE("an owner query relies on the owner and never runs the request") {
  for (const auto& [step, verdict] :
       {std::pair{TicketStep::kDeliverResponse, Verdict::kRan},
        std::pair{TicketStep::kNotRun, Verdict::kNotRun},
        std::pair{TicketStep::kUnknown, Verdict::kUnknown},
        std::pair{TicketStep::kMismatch, Verdict::kNotRun}}) {
    OwnerQuery query = NewQuery(TicketOf(1));
    const OwnerQueryAction action = query.Start(Instant(0));
    CHECK(action.step == OwnerQueryStep::kQueryOwner);
    CHECK(action.target == kOwner);
    TicketReply reply;
    reply.step = step;
    reply.verdict = verdict;
    const OwnerQueryAction end = query.OnOwnerReply(reply, Instant(1));
    CHECK(end.step == OwnerQueryStep::kReply);
    CHECK(end.reply.step == step);
    CHECK(end.reply.verdict == verdict);
  }
  TicketReply start;
  start.step = TicketStep::kStart;
  CHECK(NewQuery(TicketOf(1)).OnOwnerReply(start, Instant(0)).reply.verdict ==
        Verdict::kUnknown);
}

TEST_CASE("the query waits for a running request up to the caller's deadline") {
  OwnerQuery query = NewQuery(TicketOf(1));
  CHECK(query.Start(Instant(0)).until == Instant(2'000));
  TicketReply running;
  running.step = TicketStep::kJoin;
  const OwnerQueryAction wait = query.OnOwnerReply(running, Instant(1));
  CHECK(wait.step == OwnerQueryStep::kQueryOwner);
  CHECK(wait.until == Instant(10'000));
}

TEST_CASE("after a silent owner it queries the witness, then the successors") {
  OwnerQuery::Options options;
  options.successors = {kSelf, kSuccessor};
  OwnerQuery query = NewQuery(TicketOf(1), options);
  query.Start(Instant(0));
  CHECK(query.OnSilence(Instant(1)).target == kSelf);
  CHECK(query.OnWitnessReply(WitnessReply::kClaimed, Instant(2)).target ==
        kSuccessor);
  const OwnerQueryAction end =
      query.OnWitnessReply(WitnessReply::kRan, Instant(3));
  CHECK(end.reply.step == TicketStep::kResponseGone);
  CHECK(end.reply.verdict == Verdict::kRan);
}

TEST_CASE("without owner and witness the verdict is unknown") {
  Ticket ticket = TicketOf(1);
  OwnerQuery with = NewQuery(ticket);
  with.Start(Instant(0));
  with.OnSilence(Instant(1));
  CHECK(with.OnSilence(Instant(2)).reply.verdict == Verdict::kUnknown);
  ticket.witness.reset();
  OwnerQuery::Options restarted;
  restarted.known_incarnation = kOwner.incarnation + 1;
  const OwnerQueryAction end = NewQuery(ticket, restarted).Start(Instant(0));
  CHECK(end.step == OwnerQueryStep::kReply);
  CHECK(end.reply.verdict == Verdict::kUnknown);
}

TEST_CASE("a restarted owner's ticket goes to the witness at once") {
  OwnerQuery::Options options;
  options.known_incarnation = kOwner.incarnation + 1;
  CHECK(NewQuery(TicketOf(1), options).Start(Instant(0)).step ==
        OwnerQueryStep::kQueryWitness);
  OwnerQuery late = NewQuery(TicketOf(1));
  late.Start(Instant(0));
  TicketReply other_incarnation;
  other_incarnation.step = TicketStep::kNotMine;
  CHECK(late.OnOwnerReply(other_incarnation, Instant(1)).step ==
        OwnerQueryStep::kQueryWitness);
  CHECK(late.OnWitnessReply(WitnessReply::kVoided, Instant(2)).reply.verdict ==
        Verdict::kNotRun);
}

}  // namespace toucanknot
