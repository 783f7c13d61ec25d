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

// Names one passing of a run-once request by its owner to another entry host.
struct ForwardedRunId {
  HostIncarnation owner;
  // The ticket's sequence number and the number of the attempt.
  RunAttempt attempt;

  bool operator==(const ForwardedRunId&) const = default;
};

// The record of requests that other entry hosts, their owners, passed to this
// one to run once for them. Every passing is run at most once, and "not run" is
// said only once it is void here. An owner may lose the connection and ask
// again; it must believe an answer to Ask() only within the `keep` of `limits`
// after it handed the request over, and only from the life of this host that it
// passed the request to. Not thread-safe.
class ForwardedRunTable {
 public:
  ForwardedRunTable(RunRecords::Limits limits,
                    std::shared_ptr<ResponseCache> answers);

  // A passed request arrived. kStart, kJoin (a duplicate), or its end.
  TicketReply Begin(const ForwardedRunId& pass,
                    uint64_t fingerprint,
                    uint64_t waiter,
                    Instant now);
  // The owner asks what became of it. Voids one that has not arrived. With
  // `give_up`, it also voids one that has not been handed over.
  TicketReply Ask(const ForwardedRunId& pass,
                  bool give_up,
                  uint64_t waiter,
                  Instant now);

  // The records of an owner's passed requests, under Key().
  RunRecords& RunsOf(const HostIncarnation& owner);
  static uint64_t Key(const RunAttempt& attempt);
  // Refused here before a byte was handed over. Must precede the refusal.
  RunEnd Void(const ForwardedRunId& pass, Instant now);

  // Drops records whose time is up.
  void Expire(Instant now);
  size_t size() const;

 private:
  RunRecords::Limits limits_;
  std::shared_ptr<ResponseCache> answers_;
  std::map<HostIncarnation, RunRecords> owners_;
};

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_FORWARDED_RUN_TABLE_H_
