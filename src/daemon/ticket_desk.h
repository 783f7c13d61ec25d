#ifndef SRC_DAEMON_TICKET_DESK_H_
#define SRC_DAEMON_TICKET_DESK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

#include "include/base/clock.h"
#include "include/once/pass_table.h"
#include "include/once/ticket_table.h"
#include "src/http/http_message.h"
#include "src/http/one_shot.h"

namespace toucanknot {

// A host's records of run-once requests, shared by the workers: holds their
// lock and wakes the requests that joined a run. The lock is a leaf.
class TicketDesk {
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
  TicketDesk(const HostLife& self, Limits limits);

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
  TicketReply BeginPassed(const PassId& pass,
                          uint64_t fingerprint,
                          const WaiterPtr& waiter);

  // Acts on the records of this host's tickets, or of those that `owner`
  // passed here, and wakes who waits for the end that results.
  using Act = std::function<RunEnd(RunRecords& runs, Instant now)>;
  RunEnd End(const Act& act);
  RunEnd EndPassed(const HostLife& owner, const Act& act);
  RunEnd VoidTicket(const Ticket& ticket);
  RunEnd VoidPassed(const PassId& pass);
  // The same without an end.
  void With(const std::function<void(RunRecords& runs)>& act);
  void WithPassed(const HostLife& owner,
                  const std::function<void(RunRecords& runs)>& act);

  void SetLimits(Limits limits);
  void Expire();

  const HostLife& self() const { return self_; }
  // Records held and bytes of kept answers.
  size_t records() const;
  int64_t kept_bytes() const;
  // Unfinished runs of this host's tickets.
  size_t unfinished() const;

 private:
  RunEnd Wake(RunEnd end);

  mutable std::mutex mutex_;
  const HostLife self_;
  const std::shared_ptr<AnswerStore> answers_;
  TicketTable tickets_;
  PassTable passes_;
  uint64_t next_waiter_ = 1;
  std::unordered_map<uint64_t, WaiterPtr> waiters_;
};

// Turns a whole response into a kept answer, and back.
KeptAnswerPtr ToKeptAnswer(const HttpResponse& response);
HttpResponse FromKeptAnswer(const KeptAnswer& answer);

}  // namespace toucanknot

#endif  // SRC_DAEMON_TICKET_DESK_H_
