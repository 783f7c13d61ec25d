#ifndef BENCH_ONCE_HOST_MODEL_H_
#define BENCH_ONCE_HOST_MODEL_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/ids.h"
#include "include/base/verdict.h"

namespace toucanknot::bench {

// Participants in the model of one run-once request: hosts are 0, 1, ...
inline constexpr int kCaller = -1;
inline constexpr int kStore = -2;
inline constexpr int kFirstServer = 100;

enum class MessageKind {
  // Caller to host, and back with a verdict.
  kRequest,
  kVerdict,
  // Host to backend server, and back.
  kRun,
  kRan,
  kRunRefused,
  // Host to owner, and back with a TicketStep.
  kQuery,
  kQueryReply,
  // Owner to witness, and back with a WitnessReply.
  kClaim,
  kClaimReply,
  kOutcome,
  // Any host to witness, and back with a WitnessReply.
  kWitnessQuery,
  kWitnessReply,
  // Owner to another entry host, and back with a TicketStep.
  kForward,
  kForwardReply,
  kForwardQuery,
  // The records of an owner that stops.
  kHandoff,
  // Host to the platform's store, and back.
  kStoreClaim,
  kStoreOutcome,
  kStoreReply,
};

struct Message {
  MessageKind kind = MessageKind::kRequest;
  int from = 0;
  int to = 0;
  // The sender's incarnation, and the incarnation that the message is for; 0:
  // any.
  Incarnation from_incarnation = 0;
  Incarnation to_incarnation = 0;
  // Chosen by the sender of a request, returned in the reply.
  uint64_t tag = 0;
  uint32_t attempt = 0;
  // The enum value of a reply, or a value that depends on `kind`.
  int value = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): see Duration.
  auto operator<=>(const Message&) const = default;
};

// Faults injected into the protocol, to show that the checks find them.
enum class Fault {
  kNone,
  // A void is reported and not recorded.
  kVoidNotRecorded,
  // A forgotten ticket counts as one that did not run.
  kExpiredIsNotRun,
  // A request of an earlier incarnation counts as one that did not run.
  kEarlierIncarnationIsNotRun,
  // The owner hands over without its witness's grant.
  kNoClaim,
  // The owner sends again after a broken attempt.
  kSendsAgain,
  // The host to which a request was forwarded does not record its void.
  kForwardVoidNotRecorded,
};

inline constexpr EnumNames<Fault, 7> kFaultNames{
    {"none", "void-not-kept", "expired-is-not-run", "earlier-life-is-not-run",
     "no-claim", "sends-again", "pass-void-not-kept"}};

// One entry host in the model of one run-once request. A host that dies is
// destroyed; a new one with another incarnation replaces it.
class HostModel {
 public:
  virtual ~HostModel() = default;

  virtual std::unique_ptr<HostModel> Clone() const = 0;
  // Differs for states that may behave differently.
  virtual std::string Key() const = 0;

  virtual void OnMessage(const Message& message,
                         Instant now,
                         std::vector<Message>& out) = 0;
  // The number of replies being waited for, and the event that reply `i` does
  // not come.
  virtual size_t PendingReplies() const = 0;
  virtual void OnSilence(size_t i, Instant now, std::vector<Message>& out) = 0;
  // The number of requests that could be sent now; request `i` is sent to
  // `participant`, a backend server or another host, or is rejected.
  virtual size_t ReadyRuns() const = 0;
  virtual void Send(size_t i,
                    int participant,
                    Incarnation incarnation,
                    Instant now,
                    std::vector<Message>& out) = 0;
  virtual void Refuse(size_t i, Instant now, std::vector<Message>& out) = 0;
  // Whether Send() of request `i` to another host is possible.
  virtual bool MayForward(size_t) const { return false; }

  // Graceful stop: starts it; whether nothing is left to do; hands over the
  // records.
  virtual void Close() {}
  virtual bool Idle() const { return false; }
  virtual void HandOff(std::vector<Message>&) {}

  virtual void OnTime(Instant) {}
};

}  // namespace toucanknot::bench

#endif  // BENCH_ONCE_HOST_MODEL_H_
