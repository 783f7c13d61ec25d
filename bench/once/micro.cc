// Time and memory of single operations of include/once.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <memory>
#include <string>
#include <vector>

#include "include/once/response_matcher.h"
#include "include/once/ticket_issuer.h"
#include "include/once/ticket_table.h"
#include "include/once/witness_table.h"

namespace toucanknot::bench {
namespace {

constexpr Duration kLifetime{120'000};
constexpr Duration kKeep{300'000};
constexpr int64_t kCacheBytes = 32 << 20;
constexpr size_t kMaxRecords = 100'000;
constexpr Instant kNow{1'000};

std::unique_ptr<TicketIssuer> NewIssuer() {
  return std::make_unique<TicketIssuer>(
      HostIncarnation{HostId("khomas-1a-entry-01"), 0x18f2d3c4b5a}, TicketKey{},
      Instant(0));
}

TicketTable NewTable(size_t max_records) {
  return TicketTable(NewIssuer(), {kKeep, max_records},
                     std::make_shared<ResponseCache>(kCacheBytes, kKeep));
}

void TicketIssueToText(benchmark::State& state) {
  const auto issuer = NewIssuer();
  for (auto _ : state)
    benchmark::DoNotOptimize(issuer->Issue(kLifetime, kNow).ToString());
}
BENCHMARK(TicketIssueToText);

void TicketParseAndCheck(benchmark::State& state) {
  const auto issuer = NewIssuer();
  const std::string text = issuer->Issue(kLifetime, kNow).ToString();
  for (auto _ : state) {
    const auto ticket = Ticket::Parse(text);
    benchmark::DoNotOptimize(issuer->Check(*ticket, kNow));
  }
}
BENCHMARK(TicketParseAndCheck);

// The work of a host that is not the owner.
void TicketParse(benchmark::State& state) {
  const std::string text = NewIssuer()->Issue(kLifetime, kNow).ToString();
  for (auto _ : state)
    benchmark::DoNotOptimize(Ticket::Parse(text));
}
BENCHMARK(TicketParse);

// All steps of a run at the owner except issuing the ticket, with full records:
// check, admit, hand over, response, and dropping the oldest record.
void TicketRun(benchmark::State& state) {
  TicketTable table = NewTable(kMaxRecords);
  const auto response = std::make_shared<CachedResponse>(
      CachedResponse{200, "", std::string(200, 'x')});
  const auto run_one = [&](const std::string& text) {
    const TicketReply reply = table.Begin(text, 7, 1, kNow);
    const auto attempt = table.runs().HandOver(reply.run);
    benchmark::DoNotOptimize(
        table.runs().RecordResponse(*attempt, response, kNow));
  };
  for (size_t i = 0; i < kMaxRecords; ++i)
    run_one(table.Issue(kLifetime, kNow).ToString());
  std::vector<std::string> texts;
  for (auto _ : state) {
    if (texts.empty()) {
      state.PauseTiming();
      for (int i = 0; i < 1'000; ++i)
        texts.push_back(table.Issue(kLifetime, kNow).ToString());
      state.ResumeTiming();
    }
    run_one(texts.back());
    texts.pop_back();
  }
}
BENCHMARK(TicketRun);

// A repeat that gets the cached response.
void TicketRepeat(benchmark::State& state) {
  TicketTable table = NewTable(kMaxRecords);
  const std::string text = table.Issue(kLifetime, kNow).ToString();
  const auto attempt = table.runs().HandOver(table.Begin(text, 7, 1, kNow).run);
  table.runs().RecordResponse(*attempt, std::make_shared<CachedResponse>(),
                              kNow);
  for (auto _ : state)
    benchmark::DoNotOptimize(table.Begin(text, 7, 2, kNow));
}
BENCHMARK(TicketRepeat);

// Heap bytes of a record, as counted by the allocator.
void TicketMemory(benchmark::State& state) {
  double unused = 0;
  double running = 0;
  double ended = 0;
  for (auto _ : state) {
    TicketTable table = NewTable(kMaxRecords);
    std::vector<std::string> texts;
    texts.reserve(kMaxRecords);
    const auto used = [] { return static_cast<double>(mallinfo2().uordblks); };
    double before = used();
    for (size_t i = 0; i < kMaxRecords; ++i)
      benchmark::DoNotOptimize(table.Issue(kLifetime, kNow));
    unused = used() - before;
    for (size_t i = 0; i < kMaxRecords; ++i)
      texts.push_back(table.Issue(kLifetime, kNow).ToString());
    before = used();
    for (const std::string& it : texts)
      table.Begin(it, 7, 1, kNow);
    running = used() - before;
    for (size_t i = 0; i < kMaxRecords; ++i) {
      const auto attempt = table.runs().HandOver(kMaxRecords + 1 + i);
      table.runs().RecordResponse(*attempt, nullptr, kNow);
    }
    ended = used() - before;
  }
  const double n = kMaxRecords;
  state.counters["unused_B"] = unused / n;
  state.counters["running_B"] = running / n;
  state.counters["ended_B"] = ended / n;
}
BENCHMARK(TicketMemory)->Iterations(1);

void WitnessClaimAndRecord(benchmark::State& state) {
  const HostIncarnation self{HostId("w"), 1};
  WitnessTable witness(self, {});
  TicketTable table = NewTable(kMaxRecords);
  Ticket ticket = table.Issue(kLifetime, kNow, self);
  for (auto _ : state) {
    ++ticket.sequence;
    benchmark::DoNotOptimize(witness.Claim(ticket, kNow));
    witness.RecordOutcome(ticket, Verdict::kRan, kNow);
  }
}
BENCHMARK(WitnessClaimAndRecord);

void WitnessMemory(benchmark::State& state) {
  double bytes = 0;
  for (auto _ : state) {
    const HostIncarnation self{HostId("w"), 1};
    WitnessTable witness(self, {});
    TicketTable table = NewTable(kMaxRecords);
    Ticket ticket = table.Issue(kLifetime, kNow, self);
    const auto before = static_cast<double>(mallinfo2().uordblks);
    for (size_t i = 0; i < kMaxRecords; ++i) {
      ++ticket.sequence;
      witness.Claim(ticket, kNow);
    }
    bytes = static_cast<double>(mallinfo2().uordblks) - before;
  }
  state.counters["record_B"] = bytes / static_cast<double>(kMaxRecords);
}
BENCHMARK(WitnessMemory)->Iterations(1);

void ResponseMatcherAttempt(benchmark::State& state) {
  ResponseMatcher matcher;
  for (auto _ : state) {
    const uint64_t id = matcher.Open(kNow);
    benchmark::DoNotOptimize(matcher.Classify({id, 5, 5}, kNow));
  }
}
BENCHMARK(ResponseMatcherAttempt);

}  // namespace
}  // namespace toucanknot::bench
