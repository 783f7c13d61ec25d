#ifndef BENCH_ONCE_TICKET_HOST_MODEL_H_
#define BENCH_ONCE_TICKET_HOST_MODEL_H_

#include <memory>
#include <string>
#include <vector>

#include "bench/once/host_model.h"
#include "include/once/forwarded_run_table.h"
#include "include/once/owner_query.h"
#include "include/once/ticket_table.h"
#include "include/once/witness_table.h"

namespace toucanknot::bench {

// Time constants of the model.
inline constexpr Duration kTicketLifetime{1'000};
inline constexpr Duration kRecordLifetime{3'000};

// Connects the real tables of include/once as an entry host does.
class TicketHostModel : public HostModel {
 public:
  TicketHostModel(int index, int hosts, Incarnation incarnation, Fault fault);

  static HostIncarnation IncarnationOf(int index, Incarnation incarnation);
  static int IndexOf(const HostIncarnation& incarnation);
  // Issues the model's ticket; `witness` is a host or -1.
  Ticket Issue(int witness, Incarnation witness_incarnation);
  void SetTicket(const std::string& text);

  std::unique_ptr<HostModel> Clone() const override;
  std::string Key() const override;
  void OnMessage(const Message& message,
                 Instant now,
                 std::vector<Message>& out) override;
  size_t PendingReplies() const override;
  void OnSilence(size_t i, Instant now, std::vector<Message>& out) override;
  size_t ReadyRuns() const override;
  void Send(size_t i,
            int participant,
            Incarnation incarnation,
            Instant now,
            std::vector<Message>& out) override;
  void Refuse(size_t i, Instant now, std::vector<Message>& out) override;
  bool MayForward(size_t i) const override;
  void Close() override;
  bool Idle() const override;
  void HandOff(std::vector<Message>& out) override;
  void OnTime(Instant now) override;

 private:
  enum class Stage {
    kClaiming,
    kReady,
    kAtServer,
    kForwarded,
    kQueryingForward
  };

  // A run that this host sends on: its own ticket's, or a forwarded one.
  struct Run {
    bool forwarded_here = false;
    ForwardedRunId forwarded_run;
    uint64_t key = 0;
    Stage stage = Stage::kReady;
    RunAttempt attempt;
    int participant = 0;
    Incarnation participant_incarnation = 0;
    Instant handed_at;
    // The witness granted the claim.
    bool claimed = false;
  };
  // A participant that waits for the end of a run.
  struct Waiter {
    uint64_t id = 0;
    Message query;
  };
  struct PendingQuery {
    uint64_t id = 0;
    Message query;
    OwnerQuery owner_query;
    OwnerQueryAction awaiting;
    int actions = 0;
  };

  RunRecords& RunsFor(const Run& run);
  uint64_t AddWaiter(const Message& query);
  void DropWaiter(uint64_t id);
  size_t NthInStage(size_t i, bool ready) const;
  void Reply(const Message& query,
             const TicketReply& reply,
             std::vector<Message>& out);
  void End(const Run& run, const RunEnd& end, std::vector<Message>& out);
  void SendOutcome(Verdict verdict, std::vector<Message>& out);
  TicketReply ApplyFault(TicketReply reply) const;

  void OnRequest(const Message& m, Instant now, std::vector<Message>& out);
  void OnQuery(const Message& m, Instant now, std::vector<Message>& out);
  void OnClaimReply(const Message& m, Instant now, std::vector<Message>& out);
  void OnServerReply(const Message& m, Instant now, std::vector<Message>& out);
  void OnForward(const Message& m, Instant now, std::vector<Message>& out);
  void OnForwardReply(const Message& m, Instant now, std::vector<Message>& out);
  void OnOwnerQueryReply(const Message& m,
                         Instant now,
                         std::vector<Message>& out);
  void ApplyAction(size_t i,
                   const OwnerQueryAction& action,
                   Instant now,
                   std::vector<Message>& out);
  void HandOver(size_t n, Instant now, std::vector<Message>& out);
  void VoidRun(size_t i, Instant now, std::vector<Message>& out);
  void BreakRun(size_t i, Instant now, std::vector<Message>& out);
  Message MakeMessage(int participant,
                      MessageKind kind,
                      uint64_t tag,
                      int value) const;

  int index_;
  int hosts_;
  HostIncarnation self_;
  Fault fault_;
  TicketTable table_;
  WitnessTable witness_;
  ForwardedRunTable forwarded_runs_;
  std::string text_;
  Ticket ticket_;
  std::vector<Run> runs_;
  std::vector<Waiter> waiters_;
  std::vector<PendingQuery> pending_queries_;
  bool closed_ = false;
  int handed_over_ = 0;
  TicketHandoff handoff_;
};

}  // namespace toucanknot::bench

#endif  // BENCH_ONCE_TICKET_HOST_MODEL_H_
