#ifndef INCLUDE_ONCE_RUN_RECORDS_H_
#define INCLUDE_ONCE_RUN_RECORDS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "include/base/clock.h"
#include "include/base/verdict.h"
#include "include/once/response_cache.h"
#include "include/once/ticket_state.h"

namespace toucanknot {

// One forwarding of one run. `number` counts from 1.
struct RunAttempt {
  uint64_t run = 0;
  uint32_t number = 0;

  bool operator==(const RunAttempt&) const = default;
};

// What became of a call that ends a run.
struct RunEnd {
  // False: the call came too late or belongs to another attempt; nothing was
  // changed and nobody is to be answered.
  bool accepted = false;
  Verdict verdict = Verdict::kUnknown;
  // Absent when there is none to deliver.
  CachedResponsePtr answer;
  // Who waits for the end: the one that began the run, those that joined.
  std::vector<uint64_t> waiters;
};

// What a table knows of one run.
struct RunView {
  // kUnused when there is no record.
  TicketState state = TicketState::kUnused;
  // Only without a record: there may have been one that says "ran".
  bool forgotten = false;
  // Only without a record: it must not be started any more.
  bool dead = false;
  // 0 until admitted.
  uint64_t fingerprint = 0;
  CachedResponsePtr answer;
};

// The records of runs that are numbered by one issuer. Bounded: beyond
// `max_records` the lowest finished run loses its record, and everything up to
// its number that has no record can never start. Two marks keep that truthful:
//   number <= forgotten mark, no record: it may have run;
//   forgotten mark < number <= dead mark, no record: it did not run, never
//   will.
// Not thread-safe.
class RunRecords {
 public:
  struct Limits {
    // How long a record outlives the end of its run.
    Duration keep{300'000};
    size_t max_records = 100'000;
  };
  // Runs that were taken back this often are not sent again.
  static constexpr uint32_t kMaxAttempts = 15;

  RunRecords(Limits limits, std::shared_ptr<ResponseCache> answers);

  RunView View(uint64_t run) const;

  // Admits a run for which View() shows neither a record nor `dead`. Its record
  // stays at least until `expires`. With `needs_claim`, HandOver() waits for
  // Claimed(). False when the table is full of unfinished runs; the run is dead
  // then and did not run.
  bool Admit(uint64_t run,
             uint64_t fingerprint,
             bool needs_claim,
             Instant expires,
             Instant now);
  // Makes `waiter` one of those that RunEnd names. Only for unfinished runs.
  void Join(uint64_t run, uint64_t waiter);
  // A waiter's caller is gone. Returns how many remain.
  size_t Leave(uint64_t run, uint64_t waiter);

  // Whether the run may still be sent anywhere or be refused.
  bool MayChooseAgain(uint64_t run) const;
  // The witness consented to the run.
  void Claimed(uint64_t run);
  // Must be called before the first byte of an attempt leaves; nothing means
  // that no byte may leave.
  std::optional<RunAttempt> HandOver(uint64_t run);
  // The host that `attempt` was passed to proved that it did not and will not
  // run it: the run may be sent elsewhere. True when it may.
  bool TakeBack(const RunAttempt& attempt);

  // Ends: a whole answer of a backend server that ran it.
  RunEnd Answer(const RunAttempt& attempt,
                CachedResponsePtr answer,
                Instant now);
  // The other side proved that it did not and will not run it.
  RunEnd Refuse(const RunAttempt& attempt,
                CachedResponsePtr answer,
                Instant now);
  // No whole answer came, and none will over this connection.
  RunEnd Break(const RunAttempt& attempt, Instant now);
  // Gives a run up before a byte left. Also for a run without a record.
  RunEnd Void(uint64_t run, Instant expires, Instant now);

  // Drops records whose time is up.
  void Expire(Instant now);
  void SetLimits(Limits limits, Instant now);

  size_t size() const { return records_.size(); }
  // Runs that are admitted or handed over.
  size_t unfinished() const { return unfinished_; }
  uint64_t forgotten_mark() const { return forgotten_mark_; }
  uint64_t dead_mark() const { return dead_mark_; }
  // Runs that ran or may have run, in order; for a graceful shutdown.
  struct Finished {
    uint64_t run = 0;
    Verdict verdict = Verdict::kUnknown;

    bool operator==(const Finished&) const = default;
  };
  std::vector<Finished> FinishedRuns() const;

 private:
  struct Record {
    TicketState state = TicketState::kUnused;
    uint8_t attempts = 0;
    bool needs_claim = false;
    uint64_t fingerprint = 0;
    Instant forget_at;
    std::weak_ptr<const CachedResponse> answer;
  };
  using Records = std::map<uint64_t, Record>;

  static bool Unfinished(TicketState state);
  Record* FindAttempt(const RunAttempt& attempt);
  bool Apply(Record& record, TicketEvent event);
  RunEnd Finish(uint64_t run,
                Record& record,
                CachedResponsePtr answer,
                Instant now);
  bool MakeRoom();
  Records::iterator Drop(Records::iterator it);

  Limits limits_;
  std::shared_ptr<ResponseCache> answers_;
  Records records_;
  std::unordered_map<uint64_t, std::vector<uint64_t>> waiters_;
  size_t unfinished_ = 0;
  uint64_t forgotten_mark_ = 0;
  uint64_t dead_mark_ = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_RUN_RECORDS_H_
