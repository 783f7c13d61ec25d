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

// What an entry host requests of another when it forwards a request.
enum class ForwardingKind {
  // Serve the request, which is idempotent.
  kServe,
  // Run the request once on behalf of the sender, which owns its ticket.
  kRunOnce,
  // Report the state of the request under a ticket that the receiver issued,
  // without running it.
  kAskOwner,
};

inline constexpr EnumNames<ForwardingKind, 3> kForwardingKindNames{
    {"serve", "run-once", "ask-owner"}};

// Authenticates a request forwarded between entry hosts, in the header
// `Toucanknot-Pass`. Signed with the fleet key over the receiver, the method,
// the target, the ticket and the body, so that a caller cannot forge one or
// reuse it for another request. A replayed token can at most repeat an
// idempotent request or join the run it names.
struct ForwardingToken {
  ForwardingKind kind = ForwardingKind::kServe;
  HostIncarnation sender;
  // For kServe and kRunOnce: the kind of hop, as decided by the sender's
  // dispatcher.
  Hop hop = Hop::kInRegion;
  // For kRunOnce: identifies the run on the sender.
  RunAttempt attempt;
};

// Signs `request` for `receiver`: sets the header with the token and its MAC.
void SignForwardingToken(const ForwardingToken& token,
                         const HostId& receiver,
                         const FleetKeys& keys,
                         HttpRequest& request);

// Returns the verified token of `request`, which was received by `receiver`.
// Empty when there is no token or when it is not authentic; `*forged` is true
// in the second case.
std::optional<ForwardingToken> VerifyForwardingToken(const HttpRequest& request,
                                                     const HostId& receiver,
                                                     const FleetKeys& keys,
                                                     bool* forged);

}  // namespace toucanknot

#endif  // SRC_DAEMON_FORWARDING_TOKEN_H_
