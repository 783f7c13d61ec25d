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

// Places in the model of one run-once request: hosts are 0, 1, ...
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
  kAsk,
  kAskReply,
  // Owner to witness, and back with a WitnessReply.
  kClaim,
  kClaimReply,
  kSettle,
  // Any host to witness, and back with a WitnessReply.
  kWitnessAsk,
  kWitnessReply,
  // Owner to another entry host, and back with a TicketStep.
  kPass,
  kPassReply,
  kPassAsk,
  // A stopping owner's records.
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
  // The sender's life, and the one that the message is for; 0: any.
  Incarnation from_life = 0;
  Incarnation to_life = 0;
  // Chosen by the one that asks, given back in the reply.
  uint64_t tag = 0;
  uint32_t attempt = 0;
  // An enum of the kind's reply, or what the kind says.
  int value = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): see Duration.
  auto operator<=>(const Message&) const = default;
};

// How a design's rules may be broken on purpose, to see the checks fail.
enum class Fault {
  kNone,
  // A void is told and not recorded.
  kVoidNotKept,
  // A forgotten ticket counts as one that did not run.
  kExpiredIsNotRun,
  // A request of an earlier life counts as one that did not run.
  kEarlierLifeIsNotRun,
  // The owner hands over without its witness's consent.
  kNoClaim,
  // The owner sends again after a break.
  kSendsAgain,
  // The host that a request was passed to does not record its void.
  kPassVoidNotKept,
};

inline constexpr EnumNames<Fault, 7> kFaultNames{
    {"none", "void-not-kept", "expired-is-not-run", "earlier-life-is-not-run",
     "no-claim", "sends-again", "pass-void-not-kept"}};

// One entry host's part in the model of one run-once request. A host that dies
// is destroyed; another one with a new life takes its place.
class HostModel {
 public:
  virtual ~HostModel() = default;

  virtual std::unique_ptr<HostModel> Clone() const = 0;
  // Tells states apart that may behave differently.
  virtual std::string Key() const = 0;

  virtual void OnMessage(const Message& message,
                         Instant now,
                         std::vector<Message>& out) = 0;
  // The number of replies that are waited for, and: number `i` fails to come.
  virtual size_t Waits() const = 0;
  virtual void OnSilence(size_t i, Instant now, std::vector<Message>& out) = 0;
  // The number of requests that could be sent now, and: number `i` goes to
  // `place`, a backend server or another host; or it is refused.
  virtual size_t Ready() const = 0;
  virtual void Send(size_t i,
                    int place,
                    Incarnation life,
                    Instant now,
                    std::vector<Message>& out) = 0;
  virtual void Refuse(size_t i, Instant now, std::vector<Message>& out) = 0;
  // Whether Send() to another host is possible for number `i`.
  virtual bool MayForward(size_t) const { return false; }

  // Graceful stop: begins it; whether all is done; leaves what it knows.
  virtual void Close() {}
  virtual bool Idle() const { return false; }
  virtual void HandOff(std::vector<Message>&) {}

  virtual void OnTime(Instant) {}
};

}  // namespace toucanknot::bench

#endif  // BENCH_ONCE_HOST_MODEL_H_
