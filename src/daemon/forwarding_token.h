#ifndef SRC_DAEMON_FORWARDING_TOKEN_H_
#define SRC_DAEMON_FORWARDING_TOKEN_H_

#include <optional>
#include <string>
#include <string_view>

#include "include/base/enum_names.h"
#include "include/once/forwarded_run_table.h"
#include "include/peer/fleet_keys.h"
#include "include/steering/dispatcher.h"
#include "src/http/http_message.h"

namespace toucanknot {

// What an entry host wants of another with a request that it passes on.
enum class ForwardingKind {
  // Serve it: it is idempotent.
  kServe,
  // Run it once for its owner, the sender.
  kRunOnce,
  // Say what became of it under a ticket of yours; do not run it.
  kAskOwner,
};

inline constexpr EnumNames<ForwardingKind, 3> kForwardingKindNames{
    {"serve", "run-once", "ask-owner"}};

// Goes with a request from one entry host to another, in `Toucanknot-Pass`.
// Signed with the fleet key over the receiver, the method, the target, the
// ticket and the body, so that no caller can make one up or move it to another
// request. One that is sent again can at most repeat an idempotent request, or
// join the run it names.
struct ForwardingToken {
  ForwardingKind kind = ForwardingKind::kServe;
  HostIncarnation sender;
  // For kServe and kRunOnce: the way it came, as the sender's dispatcher says.
  Hop hop = Hop::kInRegion;
  // For kRunOnce: names the run at the sender.
  RunAttempt attempt;
};

// Signs `request` for `receiver` by setting its mark.
void SignForwardingToken(const ForwardingToken& mark,
                         const HostId& receiver,
                         const FleetKeys& keys,
                         HttpRequest& request);

// The mark of `request`, which arrived at `receiver`. Nothing when it has none
// or when it is not authentic; `forged` tells which.
std::optional<ForwardingToken> VerifyForwardingToken(const HttpRequest& request,
                                                     const HostId& receiver,
                                                     const FleetKeys& keys,
                                                     bool* forged);

}  // namespace toucanknot

#endif  // SRC_DAEMON_FORWARDING_TOKEN_H_
