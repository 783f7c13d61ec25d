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

// One attempt to run a request. `number` counts from 1.
struct RunAttempt {
  uint64_t run = 0;
  uint32_t number = 0;

  bool operator==(const RunAttempt&) const = default;
};

// The result of a call that may end a run.
struct RunEnd {
  // False: the call came too late or belongs to another attempt; nothing
  // changed and no waiter gets a response.
  bool accepted = false;
  Verdict verdict = Verdict::kUnknown;
  // Absent when there is no response to deliver.
  CachedResponsePtr response;
  // The waiters for the end of the run: the one that started it and those that
  // joined.
  std::vector<uint64_t> waiters;
};

// The state of one run.
struct RunView {
  // kUnused when there is no record.
  TicketState state = TicketState::kUnused;
  // Only without a record: a record of a finished run may have been dropped.
  bool forgotten = false;
  // Only without a record: the run can never start.
  bool dead = false;
  // 0 until admitted.
  uint64_t fingerprint = 0;
  CachedResponsePtr response;
};

// The records of runs that are numbered by one issuer. Bounded: beyond
// `max_records` the lowest finished run loses its record, and a run up to that
// number without a record can never start. Two marks make this sound:
//   number <= forgotten mark, no record: it may have run;
//   forgotten mark < number <= dead mark, no record: it did not run and
//   never will.
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

  RunRecords(Limits limits, std::shared_ptr<ResponseCache> cache);

  RunView View(uint64_t run) const;

  // Admits a run for which View() shows neither a record nor `dead`. Its record
  // stays at least until `expires`. With `needs_claim`, HandOver() fails until
  // OnClaimGranted(). Returns false when the table is full of unfinished runs;
  // the run is then dead and did not run.
  bool Admit(uint64_t run,
             uint64_t fingerprint,
             bool needs_claim,
             Instant expires,
             Instant now);
  // Adds `waiter` to those listed in RunEnd. Only for unfinished runs.
  void Join(uint64_t run, uint64_t waiter);
  // The caller behind a waiter has disconnected. Returns how many waiters
  // remain.
  size_t RemoveWaiter(uint64_t run, uint64_t waiter);

  // Whether the run may still be sent anywhere or be rejected.
  bool MayChooseAgain(uint64_t run) const;
  // The witness granted the run.
  void OnClaimGranted(uint64_t run);
  // Call it before the first byte of an attempt is sent; without a result no
  // byte may be sent.
  std::optional<RunAttempt> HandOver(uint64_t run);
  // The host to which `attempt` was forwarded proved that it did not and will
  // not run it. Returns true when the run may be sent elsewhere.
  bool TakeBack(const RunAttempt& attempt);

  // Ends the run: a backend server ran it and sent a complete response.
  RunEnd RecordResponse(const RunAttempt& attempt,
                        CachedResponsePtr response,
                        Instant now);
  // Ends the run: the other side proved that it did not and will not run it.
  RunEnd RecordNotRun(const RunAttempt& attempt,
                      CachedResponsePtr response,
                      Instant now);
  // Ends the run: no complete response came, and none will on this connection.
  RunEnd RecordBroken(const RunAttempt& attempt, Instant now);
  // Ends a run before any byte was sent. Also for a run without a record.
  RunEnd Void(uint64_t run, Instant expires, Instant now);

  // Drops expired records.
  void Expire(Instant now);
  void SetLimits(Limits limits, Instant now);

  size_t size() const { return records_.size(); }
  // Runs that are admitted or handed over.
  size_t unfinished() const { return unfinished_; }
  uint64_t forgotten_mark() const { return forgotten_mark_; }
  uint64_t dead_mark() const { return dead_mark_; }
  // Runs that ran or may have run, by number; for a graceful shutdown.
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
    std::weak_ptr<const CachedResponse> response;
  };
  using Records = std::map<uint64_t, Record>;

  static bool IsUnfinished(TicketState state);
  Record* FindAttempt(const RunAttempt& attempt);
  bool Apply(Record& record, TicketEvent event);
  RunEnd Finish(uint64_t run,
                Record& record,
                CachedResponsePtr response,
                Instant now);
  bool DropOldestFinished();
  Records::iterator DropRecord(Records::iterator it);

  Limits limits_;
  std::shared_ptr<ResponseCache> cache_;
  Records records_;
  std::unordered_map<uint64_t, std::vector<uint64_t>> waiters_;
  size_t unfinished_ = 0;
  uint64_t forgotten_mark_ = 0;
  uint64_t dead_mark_ = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_RUN_RECORDS_H_
