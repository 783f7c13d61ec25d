#ifndef BENCH_ONCE_WORLD_MODEL_H_
#define BENCH_ONCE_WORLD_MODEL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "bench/once/host_model.h"
#include "include/base/enum_names.h"

namespace toucanknot::bench {

// The designs compared for running a request at most once.
enum class Design { kStoreClaim, kKeyOwner, kTickets, kTicketsWithWitness };

inline constexpr EnumNames<Design, 4> kDesignNames{
    {"store-claim", "key-owner", "tickets", "tickets+witness"}};

enum class Violation { kNone, kDoubled, kFalseNotRun, kFalseRan };

inline constexpr EnumNames<Violation, 4> kViolationNames{
    {"none", "doubled", "false-not-run", "false-ran"}};

struct WorldOptions {
  Design design = Design::kTickets;
  Fault fault = Fault::kNone;
  int hosts = 2;
  int servers = 1;
  // Host i is in zone i % zones; the store is in zone 0.
  int zones = 2;
  // How often the caller sends the request; how often time advances, hosts die,
  // stop gracefully and restart, zones or the store are cut off.
  int requests = 2;
  int ticks = 0;
  int kills = 0;
  int closes = 0;
  int restarts = 0;
  int cuts = 0;
  int outages = 0;
  // How often hosts may forward the request to other hosts.
  int forwards = 0;
  // Hosts and backend servers may reject the request.
  bool refuses = false;
  // Messages may get lost one by one.
  bool losses = true;
  // The one host that may die, or -1 for any.
  int mortal_host = -1;
  // Waits of hosts and the caller may time out while the reply is on its way.
  bool early_timeouts = true;
  // The caller stops once it got ran or not run, and sends its first request to
  // host 0 unless the design gives it no reason to. Otherwise it sends
  // regardless of replies.
  bool sensible_caller = false;
};

enum class ActionKind {
  kRequest,
  kDeliver,
  kServerRefuses,
  kLose,
  kSilence,
  kSend,
  kRefuse,
  kKill,
  kRestart,
  kClose,
  kLeave,
  kTick,
  kCut,
  kHeal,
  kStoreDown,
  kStoreUp,
};

inline constexpr EnumNames<ActionKind, 16> kActionNames{
    {"request", "deliver", "server-refuses", "lose", "silence", "send",
     "refuse", "kill", "restart", "close", "leave", "tick", "cut", "heal",
     "store-down", "store-up"}};

struct Action {
  ActionKind kind = ActionKind::kRequest;
  // A host, message or zone; the index of a run or wait; a participant.
  int a = 0;
  int b = 0;
  int c = 0;
};

// The state of one run-once request, its caller, entry hosts, backend servers
// and store, and the possible events. Copies are independent.
class World {
 public:
  explicit World(const WorldOptions& options);
  World(const World& other);
  World& operator=(const World&) = delete;

  // The message that Action::a of kDeliver names.
  const Message& message(int i) const { return messages_[i]; }

  // The possible next actions.
  std::vector<Action> EnabledActions() const;
  void Apply(const Action& action);
  // Worlds with the same key behave the same.
  std::string Key() const;

  // The first violation found so far.
  Violation violation() const { return violation_; }
  // The caller's last known verdict; kUnknown also when it got none.
  Verdict known_verdict() const { return known_verdict_; }
  int runs() const { return runs_; }
  // Bytes were sent to a backend server or to another host.
  bool bytes_sent() const { return bytes_sent_; }
  int messages_sent() const { return messages_sent_; }
  bool has_verdict() const { return known_verdict_ != Verdict::kUnknown; }

 private:
  struct Host {
    std::unique_ptr<HostModel> model;
    Incarnation incarnation = 1;
    bool closing = false;
  };

  std::unique_ptr<HostModel> NewHost(int index, Incarnation incarnation) const;
  bool UsesTickets() const;
  // Whether a forwarded request is on its way to `host`: one that stops
  // gracefully serves what its peers have sent it.
  bool HasForwardInTransit(int host) const;
  bool Reachable(int from, int to) const;
  int ZoneOf(int participant) const;
  void AddRequestActions(std::vector<Action>& out) const;
  void AddMessageActions(std::vector<Action>& out) const;
  void AddHostActions(std::vector<Action>& out) const;
  void AddFaultActions(std::vector<Action>& out) const;
  void Deliver(const Message& m,
               bool server_refuses,
               std::vector<Message>& out);
  void DeliverToServer(const Message& m,
                       bool refuses,
                       std::vector<Message>& out);
  void DeliverToStore(const Message& m, std::vector<Message>& out);
  void Post(const std::vector<Message>& out);
  void PostOne(const Message& m);
  void OnVerdict(Verdict verdict);
  void RemoveHost(int host);
  void Restart(int host);
  void Check();

  WorldOptions options_;
  std::string ticket_;
  std::vector<Host> hosts_;
  // Sorted, so that equal worlds have equal keys.
  std::vector<Message> messages_;
  Instant now_;
  uint64_t next_request_ = 1;
  int runs_ = 0;
  bool reported_not_run_ = false;
  bool bytes_sent_ = false;
  int messages_sent_ = 0;
  Verdict known_verdict_ = Verdict::kUnknown;
  Violation violation_ = Violation::kNone;
  int cut_zone_ = -1;
  bool store_up_ = true;
  // The contents of the store: nothing, a holder and its incarnation, or an
  // outcome.
  int holder_ = -1;
  Incarnation holder_incarnation_ = 0;
  int outcome_ = -1;
};

}  // namespace toucanknot::bench

#endif  // BENCH_ONCE_WORLD_MODEL_H_
