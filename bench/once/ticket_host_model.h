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
inline constexpr Duration kTicketLife{1'000};
inline constexpr Duration kRecordKeep{3'000};

// Connects the real tables of include/once as an entry host does.
class TicketHostModel : public HostModel {
 public:
  TicketHostModel(int index, int hosts, Incarnation life, Fault fault);

  static HostIncarnation LifeOf(int index, Incarnation life);
  static int IndexOf(const HostIncarnation& life);
  // Issues the model's ticket; `witness` is a host or -1.
  Ticket Mint(int witness, Incarnation witness_life);
  void SetTicket(const std::string& text);

  std::unique_ptr<HostModel> Clone() const override;
  std::string Key() const override;
  void OnMessage(const Message& message,
                 Instant now,
                 std::vector<Message>& out) override;
  size_t Waits() const override;
  void OnSilence(size_t i, Instant now, std::vector<Message>& out) override;
  size_t Ready() const override;
  void Send(size_t i,
            int place,
            Incarnation life,
            Instant now,
            std::vector<Message>& out) override;
  void Refuse(size_t i, Instant now, std::vector<Message>& out) override;
  bool MayForward(size_t i) const override;
  void Close() override;
  bool Idle() const override;
  void HandOff(std::vector<Message>& out) override;
  void OnTime(Instant now) override;

 private:
  enum class Stage { kClaiming, kReady, kAtServer, kPassed, kAskingPass };

  // A run that this host sends on: its own ticket's, or a forwarded one.
  struct Run {
    bool passed_here = false;
    ForwardedRunId pass;
    uint64_t key = 0;
    Stage stage = Stage::kReady;
    RunAttempt attempt;
    int place = 0;
    Incarnation place_life = 0;
    Instant handed_at;
    // The witness granted the claim.
    bool claimed = false;
  };
  // A participant that waits for the end of a run.
  struct Waiter {
    uint64_t id = 0;
    Message question;
  };
  struct Inquiry {
    uint64_t id = 0;
    Message question;
    OwnerQuery inquiry;
    OwnerQueryAction awaiting;
    int actions = 0;
  };

  RunRecords& RunsFor(const Run& run);
  uint64_t AddWaiter(const Message& question);
  void DropWaiter(uint64_t id);
  size_t NthInStage(size_t i, bool ready) const;
  void Reply(const Message& question,
             const TicketReply& reply,
             std::vector<Message>& out);
  void End(const Run& run, const RunEnd& end, std::vector<Message>& out);
  void Settle(Verdict verdict, std::vector<Message>& out);
  TicketReply Corrupt(TicketReply reply) const;

  void OnRequest(const Message& m, Instant now, std::vector<Message>& out);
  void OnAsk(const Message& m, Instant now, std::vector<Message>& out);
  void OnClaimReply(const Message& m, Instant now, std::vector<Message>& out);
  void OnServer(const Message& m, Instant now, std::vector<Message>& out);
  void OnPass(const Message& m, Instant now, std::vector<Message>& out);
  void OnPassReply(const Message& m, Instant now, std::vector<Message>& out);
  void OnInquiryReply(const Message& m, Instant now, std::vector<Message>& out);
  void Act(size_t i,
           const OwnerQueryAction& action,
           Instant now,
           std::vector<Message>& out);
  void HandOver(size_t n, Instant now, std::vector<Message>& out);
  void VoidRun(size_t i, Instant now, std::vector<Message>& out);
  void BreakRun(size_t i, Instant now, std::vector<Message>& out);
  Message To(int place, MessageKind kind, uint64_t tag, int value) const;

  int index_;
  int hosts_;
  HostIncarnation self_;
  Fault fault_;
  TicketTable table_;
  WitnessTable witness_;
  ForwardedRunTable passes_;
  std::string text_;
  Ticket ticket_;
  std::vector<Run> runs_;
  std::vector<Waiter> waiters_;
  std::vector<Inquiry> inquiries_;
  bool closed_ = false;
  int handed_over_ = 0;
  TicketHandoff handoff_;
};

}  // namespace toucanknot::bench

#endif  // BENCH_ONCE_TICKET_HOST_MODEL_H_
