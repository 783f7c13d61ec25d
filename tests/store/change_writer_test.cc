#include "include/store/change_writer.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "src/standin/memory_store.h"
#include "tests/store/scripted_store.h"

namespace toucanknot {
namespace {

constexpr size_t kAllEntries = 100'000;

Change MakeChange(const RootSnapshot& base, uint64_t n) {
  Change change;
  change.id = NewChangeId(base.revision, n);
  change.author = "author-" + std::to_string(n);
  change.unix_ms = 1000;
  change.reason = "reason";
  change.summary = "summary";
  change.config_text = "text " + std::to_string(n);
  return change;
}

// Text lines with a total size of at least `bytes`.
std::string LongText(size_t bytes) {
  std::string text;
  for (int i = 0; text.size() < bytes; ++i)
    text += "line " + std::to_string(i) + " of a long configuration\n";
  return text;
}

ChangeWriter WriterOf(Store& store) {
  ChangeWriter::Options options;
  options.attempts = 3;
  options.wait = [](Duration) {};
  return {store, options};
}

// Reads the root and writes change `n` on it.
ChangeResult ChangeOnce(Store& store, uint64_t n) {
  const RootSnapshot base = ReadRootSnapshot(store);
  return WriterOf(store).Write(base, MakeChange(base, n));
}

// The number of audit entries of each change.
std::map<std::string, int> CountAuditEntries(Store& store) {
  std::map<std::string, int> counts;
  const RootSnapshot present = ReadRootSnapshot(store);
  for (const AuditEntry& it : ReadAuditLog(store, present.root, kAllEntries))
    ++counts[it.change_id];
  return counts;
}

// Whether the result that a writer got for the change `id` agrees with the
// store.
bool MatchesStore(Store& store,
                  const ChangeResult& reported,
                  const std::string& id) {
  const auto counts = CountAuditEntries(store);
  const auto it = counts.find(id);
  const int times = it == counts.end() ? 0 : it->second;
  if (times > 1)
    return false;
  switch (reported.outcome) {
    case ChangeOutcome::kApplied:
      return times == 1;
    case ChangeOutcome::kConflict:
    case ChangeOutcome::kNotApplied:
      return times == 0;
    case ChangeOutcome::kUnknown:
      break;
  }
  // LookUpChange() reports kApplied exactly if the change is in the audit log.
  const ChangeResult again = WriterOf(store).LookUpChange(id);
  return (again.outcome == ChangeOutcome::kApplied) == (times == 1);
}

}  // namespace

TEST_CASE("a change is applied together with its audit entry") {
  MemoryStore store;
  CHECK(ChangeOnce(store, 1).version == 1);
  CHECK(ChangeOnce(store, 2).version == 2);
  const RootSnapshot present = ReadRootSnapshot(store);
  CHECK(present.root.config_text == "text 2");
  REQUIRE(present.root.audit_log.size() == 2);
  CHECK(present.root.audit_log[0].author == "author-2");
  CHECK(present.root.audit_log[0].digest == present.root.digest);
  CHECK(ReadRoot(WriteRoot(present.root)) == present.root);
}

TEST_CASE("a change is applied exactly once whichever store call fails") {
  for (int lost = 0; lost < 8; ++lost) {
    for (const CallFault fault :
         {CallFault::kDown, CallFault::kLostBefore, CallFault::kLostAfter}) {
      for (const size_t bytes :
           {size_t{10}, ChangeWriter::kMaxInlineBytes + 1}) {
        MemoryStore store;
        ChangeOnce(store, 1);
        const RootSnapshot base = ReadRootSnapshot(store);
        Change change = MakeChange(base, 2);
        change.config_text = LongText(bytes);
        ScriptedStore flaky(store, [&](int call) {
          return call == lost ? fault : CallFault::kNone;
        });
        const ChangeResult reported = WriterOf(flaky).Write(base, change);
        CHECK(reported.outcome == ChangeOutcome::kApplied);
        CHECK(reported.version == 2);
        CHECK(CountAuditEntries(store)[change.id] == 1);
        const ConfigCandidate candidate =
            FetchConfigCandidate(store, ReadRootSnapshot(store).root);
        CHECK(candidate.text == change.config_text);
      }
    }
  }
}

TEST_CASE("an unacknowledged write stays unknown until the root changes") {
  MemoryStore store;
  const RootSnapshot base = ReadRootSnapshot(store);
  const Change change = MakeChange(base, 1);
  const auto write = [&](CallFault fault) {
    ScriptedStore flaky(store, [&](int) { return fault; });
    return WriterOf(flaky).Write(base, change).outcome;
  };
  CHECK(write(CallFault::kDown) == ChangeOutcome::kNotApplied);
  CHECK(write(CallFault::kLostBefore) == ChangeOutcome::kUnknown);
  CHECK(WriterOf(store).LookUpChange(change.id).outcome ==
        ChangeOutcome::kUnknown);

  SECTION("the write takes effect later") {
    CHECK(write(CallFault::kLostAfter) == ChangeOutcome::kUnknown);
    CHECK(WriterOf(store).LookUpChange(change.id).outcome ==
          ChangeOutcome::kApplied);
    CHECK(write(CallFault::kNone) == ChangeOutcome::kApplied);
    CHECK(CountAuditEntries(store)[change.id] == 1);
  }
  SECTION("another change is applied first") {
    ChangeOnce(store, 2);
    CHECK(WriterOf(store).LookUpChange(change.id).outcome ==
          ChangeOutcome::kConflict);
    CHECK(write(CallFault::kNone) == ChangeOutcome::kConflict);
  }
}

TEST_CASE("of two concurrent changes one is applied and the other conflicts") {
  // The other operator's change is applied before call `at`.
  for (int at = 0; at < 4; ++at) {
    MemoryStore store;
    ChangeOnce(store, 1);
    ChangeResult other;
    ScriptedStore shared(store, [&](int call) {
      if (call == at)
        other = ChangeOnce(store, 3);
      return CallFault::kNone;
    });
    const RootSnapshot base = ReadRootSnapshot(shared);
    const Change change = MakeChange(base, 2);
    const ChangeResult mine = WriterOf(shared).Write(base, change);
    INFO("before call " << at);
    CHECK(MatchesStore(store, mine, change.id));
    // Call 0 is the read, call 1 is the swap.
    CHECK((mine.outcome == ChangeOutcome::kApplied) == (at != 1));
    const RootSnapshot present = ReadRootSnapshot(store);
    if (at == 1) {
      CHECK(mine.outcome == ChangeOutcome::kConflict);
      CHECK(mine.present.root.config_text == "text 3");
      CHECK(present.root.config_text == "text 3");
    }
    CHECK(CountAuditEntries(store).size() == present.root.version);
  }
}

TEST_CASE("the reported outcome is true under any sequence of faults") {
  CHECK(rc::check([] {
    MemoryStore store;
    ChangeOnce(store, 1);
    uint64_t others = 100;
    ScriptedStore flaky(store, [&](int) {
      if (*rc::gen::inRange(0, 4) == 0)
        ChangeOnce(store, ++others);
      return static_cast<CallFault>(*rc::gen::inRange(0, 4));
    });
    for (uint64_t n = 2; n < 5; ++n) {
      const RootSnapshot base = ReadRootSnapshot(store);
      const Change change = MakeChange(base, n);
      const ChangeResult reported = WriterOf(flaky).Write(base, change);
      RC_ASSERT(MatchesStore(store, reported, change.id));
    }
    RC_ASSERT(CountAuditEntries(store).size() ==
              ReadRootSnapshot(store).root.version);
  }));
}

TEST_CASE(
    "the root holds a bounded part of the audit log and older entries are in "
    "parts") {
  MemoryStore store;
  constexpr uint64_t kChanges = 200;
  std::vector<std::string> ids;
  for (uint64_t i = 0; i < kChanges; ++i) {
    const RootSnapshot base = ReadRootSnapshot(store);
    ids.push_back(NewChangeId(base.revision, i));
    REQUIRE(ChangeOnce(store, i).outcome == ChangeOutcome::kApplied);
  }
  const RootSnapshot present = ReadRootSnapshot(store);
  CHECK(present.root.audit_log.size() <= ChangeWriter::kMaxRootEntries);
  const auto entries = ReadAuditLog(store, present.root, kAllEntries);
  REQUIRE(entries.size() == kChanges);
  for (uint64_t i = 0; i < kChanges; ++i)
    CHECK(entries[i].change_id == ids[kChanges - 1 - i]);
  CHECK(ReadAuditLog(store, present.root, 70).size() == 70);
  for (const std::string& it : ids)
    CHECK(WriterOf(store).LookUpChange(it).outcome == ChangeOutcome::kApplied);
  CHECK(WriterOf(store).LookUpChange(NewChangeId(50, 7'777)).outcome ==
        ChangeOutcome::kConflict);
}

TEST_CASE("changing a large text writes and reads only the changed parts") {
  MemoryStore store;
  RootSnapshot base = ReadRootSnapshot(store);
  Change change = MakeChange(base, 1);
  change.config_text = LongText(size_t{1} << 20);
  REQUIRE(WriterOf(store).Write(base, change).outcome ==
          ChangeOutcome::kApplied);
  const TextParts known(change.config_text);
  base = ReadRootSnapshot(store);
  CHECK(base.root.config_text.empty());
  CHECK(base.root.config_parts == known.digests());
  change = MakeChange(base, 2);
  change.config_text = known.text();
  change.config_text.insert(change.config_text.size() / 2, "y");
  const StoreCalls before = store.calls();
  REQUIRE(WriterOf(store).Write(base, change).outcome ==
          ChangeOutcome::kApplied);
  CHECK(store.calls().writes - before.writes <= 4);
  const ConfigCandidate candidate =
      FetchConfigCandidate(store, ReadRootSnapshot(store).root, known);
  CHECK(candidate.text == change.config_text);
  CHECK(store.calls().reads - before.reads <= 4);
}

TEST_CASE(
    "restoring an old store gives a version above the one that hosts have") {
  MemoryStore store;
  ChangeOnce(store, 1);
  const auto backup = store.TakeSnapshot();
  ChangeOnce(store, 2);
  ChangeOnce(store, 3);
  store.Restore(backup);
  const RootSnapshot base = ReadRootSnapshot(store);
  Change change = MakeChange(base, 4);
  change.kind = ChangeKind::kRestore;
  change.newest_known = 3;
  CHECK(WriterOf(store).Write(base, change).version == 4);
}

TEST_CASE("malformed roots and parts are reported as errors") {
  MemoryStore store;
  store.CompareAndSwap(kRootKey, 0, "{}");
  CHECK_THROWS_AS(ReadRootSnapshot(store), MalformedRootError);
  store.CompareAndSwap(kRootKey, 1, "nonsense");
  CHECK_THROWS_AS(ChangeOnce(store, 1), MalformedRootError);
  CHECK_THROWS_AS(ReadPart(store, "absent"), MalformedRootError);
  store.CompareAndSwap(std::string(kPartPrefix) + "d", 0, "other data");
  CHECK_THROWS_AS(ReadPart(store, "d"), MalformedRootError);
}

}  // namespace toucanknot
