#ifndef SRC_DAEMON_SHARED_TICKET_RECORDS_H_
#define SRC_DAEMON_SHARED_TICKET_RECORDS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

#include "include/base/clock.h"
#include "include/once/forwarded_run_table.h"
#include "include/once/ticket_table.h"
#include "include/once/witness_table.h"
#include "src/http/http_message.h"
#include "src/http/one_shot.h"

namespace toucanknot {

// A host's records of run-once requests, shared by the workers. Thread-safe;
// wakes the requests that joined a run when it ends. No other lock is taken
// while its lock is held.
class SharedTicketRecords {
 public:
  using Waiter = OneShot<RunEnd>;
  using WaiterPtr = std::shared_ptr<Waiter>;

  // Limits of the records and of the response cache.
  struct Limits {
    Duration response_lifetime{300'000};
    int64_t max_cached_bytes = 32 << 20;
    size_t max_records = 100'000;
  };

  // Generates the ticket key of this incarnation of the host.
  SharedTicketRecords(const HostIncarnation& self, Limits limits);

  // Issues a new ticket.
  std::string IssueTicket(Duration lifetime);

  // Decides how to handle a request with a ticket. For kJoin, `waiter` receives
  // the end of the run.
  TicketReply BeginRun(std::string_view ticket,
                       uint64_t fingerprint,
                       const WaiterPtr& waiter);
  // The same for a query from another host; voids an unused ticket.
  TicketReply QueryTicket(std::string_view ticket,
                          uint64_t fingerprint,
                          const WaiterPtr& waiter);
  // The same for a request that the ticket's owner forwarded to this host.
  TicketReply BeginForwarded(const ForwardedRunId& run_id,
                             uint64_t fingerprint,
                             const WaiterPtr& waiter);

  // Ends a run with `fn` on the records of this host's tickets, or of the
  // requests forwarded by `owner`, and wakes the requests waiting for its end.
  using EndFn = std::function<RunEnd(RunRecords& runs, Instant now)>;
  RunEnd EndRun(const EndFn& fn);
  RunEnd EndForwarded(const HostIncarnation& owner, const EndFn& fn);
  RunEnd VoidTicket(const Ticket& ticket);
  RunEnd VoidForwarded(const ForwardedRunId& run_id);
  // Runs `fn` on the records without ending a run.
  void WithRecords(const std::function<void(RunRecords& runs)>& fn);
  void WithForwarded(const HostIncarnation& owner,
                     const std::function<void(RunRecords& runs)>& fn);

  // Invalidates unused tickets and returns the records to hand off to the
  // remaining hosts. For a graceful shutdown, after the last run.
  TicketHandoff CloseForHandoff();
  // Takes over the records of a host that stopped gracefully.
  void TakeOver(const TicketHandoff& handoff);
  bool HasTakenOver(const HostIncarnation& owner) const;
  // Looks up a ticket of a host whose records were taken over.
  WitnessReply QueryTakenOver(const Ticket& ticket);

  void SetLimits(Limits limits);
  void Expire();

  const HostIncarnation& self() const { return self_; }
  // The number of records, and the size of the response cache in bytes.
  size_t records() const;
  int64_t cached_bytes() const;
  // The number of unfinished runs of this host's tickets.
  size_t unfinished() const;

 private:
  RunEnd WakeWaiters(RunEnd end);

  mutable std::mutex mutex_;
  const HostIncarnation self_;
  const std::shared_ptr<ResponseCache> response_cache_;
  TicketTable tickets_;
  ForwardedRunTable forwarded_runs_;
  WitnessTable taken_over_;
  uint64_t next_waiter_ = 1;
  std::unordered_map<uint64_t, WaiterPtr> waiters_;
};

// Convert a complete response to a cached response, and back.
CachedResponsePtr ToCachedResponse(const HttpResponse& response);
HttpResponse FromCachedResponse(const CachedResponse& cached);

}  // namespace toucanknot

#endif  // SRC_DAEMON_SHARED_TICKET_RECORDS_H_
