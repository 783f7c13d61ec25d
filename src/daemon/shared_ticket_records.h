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

// A host's records of run-once requests, shared by the workers: holds their
// lock and wakes the requests that joined a run. The lock is a leaf.
class SharedTicketRecords {
 public:
  using Waiter = OneShot<RunEnd>;
  using WaiterPtr = std::shared_ptr<Waiter>;

  // Bounds of the records and of the kept answers.
  struct Limits {
    Duration keep_answer{300'000};
    int64_t kept_answers_bytes = 32 << 20;
    size_t max_records = 100'000;
  };

  // Draws the secret of this life of the host.
  SharedTicketRecords(const HostIncarnation& self, Limits limits);

  std::string Mint(Duration lifetime);

  // What to do with a request. For kJoin, `waiter` gets the end of the run.
  TicketReply Begin(std::string_view ticket,
                    uint64_t fingerprint,
                    const WaiterPtr& waiter);
  // The same for another host's question; voids an unused ticket.
  TicketReply Ask(std::string_view ticket,
                  uint64_t fingerprint,
                  const WaiterPtr& waiter);
  // The same for a request that its owner passed to this host.
  TicketReply BeginForwarded(const ForwardedRunId& pass,
                             uint64_t fingerprint,
                             const WaiterPtr& waiter);

  // Acts on the records of this host's tickets, or of those that `owner`
  // passed here, and wakes who waits for the end that results.
  using Act = std::function<RunEnd(RunRecords& runs, Instant now)>;
  RunEnd End(const Act& act);
  RunEnd EndForwarded(const HostIncarnation& owner, const Act& act);
  RunEnd VoidTicket(const Ticket& ticket);
  RunEnd VoidForwarded(const ForwardedRunId& pass);
  // The same without an end.
  void With(const std::function<void(RunRecords& runs)>& act);
  void WithForwarded(const HostIncarnation& owner,
                     const std::function<void(RunRecords& runs)>& act);

  // Lets no unused ticket be used any more, and gives what to leave to the
  // hosts that stay. For a graceful shutdown, after the last run.
  TicketHandoff Close();
  // What a host that stopped gracefully left.
  void TakeOver(const TicketHandoff& handoff);
  bool HasTakenOver(const HostIncarnation& owner) const;
  // What became of a ticket of a host whose records were taken over.
  WitnessReply AskTakenOver(const Ticket& ticket);

  void SetLimits(Limits limits);
  void Expire();

  const HostIncarnation& self() const { return self_; }
  // Records held and bytes of kept answers.
  size_t records() const;
  int64_t kept_bytes() const;
  // Unfinished runs of this host's tickets.
  size_t unfinished() const;

 private:
  RunEnd Wake(RunEnd end);

  mutable std::mutex mutex_;
  const HostIncarnation self_;
  const std::shared_ptr<ResponseCache> answers_;
  TicketTable tickets_;
  ForwardedRunTable passes_;
  WitnessTable taken_over_;
  uint64_t next_waiter_ = 1;
  std::unordered_map<uint64_t, WaiterPtr> waiters_;
};

// Turns a whole response into a kept answer, and back.
CachedResponsePtr ToCachedResponse(const HttpResponse& response);
HttpResponse FromCachedResponse(const CachedResponse& answer);

}  // namespace toucanknot

#endif  // SRC_DAEMON_SHARED_TICKET_RECORDS_H_
