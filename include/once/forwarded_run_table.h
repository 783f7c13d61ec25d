#ifndef INCLUDE_ONCE_FORWARDED_RUN_TABLE_H_
#define INCLUDE_ONCE_FORWARDED_RUN_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>

#include "include/base/clock.h"
#include "include/once/run_records.h"
#include "include/once/ticket.h"
#include "include/once/ticket_table.h"

namespace toucanknot {

// Identifies one forwarding of a run-once request from its owner to another
// entry host.
struct ForwardedRunId {
  HostIncarnation owner;
  // The ticket's sequence number and the number of the attempt.
  RunAttempt attempt;

  bool operator==(const ForwardedRunId&) const = default;
};

// Records of the requests that their owners, other entry hosts, forwarded to
// this host to run them once. Each forwarding runs at most once, and "not run"
// is reported only after it has been voided here. An owner that loses the
// connection may query again. It may rely on a reply to Query() only within the
// `keep` of `limits` after it handed the request over, and only from the
// incarnation of this host to which it forwarded the request. Not thread-safe.
class ForwardedRunTable {
 public:
  ForwardedRunTable(RunRecords::Limits limits,
                    std::shared_ptr<ResponseCache> cache);

  // A forwarded request arrived. Returns kStart, kJoin (a duplicate), or its
  // outcome.
  TicketReply Begin(const ForwardedRunId& forwarded_run,
                    uint64_t fingerprint,
                    uint64_t waiter,
                    Instant now);
  // The owner queries the outcome. Voids a request that hasn't arrived. With
  // `give_up`, also voids one that hasn't been handed over.
  TicketReply Query(const ForwardedRunId& forwarded_run,
                    bool give_up,
                    uint64_t waiter,
                    Instant now);

  // The records of an owner's forwarded requests, by Key().
  RunRecords& RunsOf(const HostIncarnation& owner);
  static uint64_t Key(const RunAttempt& attempt);
  // The request is rejected here before any byte was handed over. Call it
  // before the rejection is sent.
  RunEnd Void(const ForwardedRunId& forwarded_run, Instant now);

  // Drops expired records.
  void Expire(Instant now);
  size_t size() const;

 private:
  RunRecords::Limits limits_;
  std::shared_ptr<ResponseCache> cache_;
  std::map<HostIncarnation, RunRecords> owners_;
};

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_FORWARDED_RUN_TABLE_H_
