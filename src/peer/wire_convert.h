#ifndef SRC_PEER_WIRE_CONVERT_H_
#define SRC_PEER_WIRE_CONVERT_H_

#include <optional>

#include "include/peer/messages.h"
#include "src/peer/gen/peer_types.h"

namespace toucanknot {

// Between the messages as the packages use them and the generated structs.

// Sets the member of `envelope` that belongs to `message`.
void PutMessage(const PeerMessage& message, wire::Envelope* envelope);

// Throws MalformedMessageError when there is no sender.
PeerSender TakeSender(const wire::Envelope& envelope);

// Nothing when no known member is set; throws MalformedMessageError when
// several are, or when a value is out of range.
std::optional<PeerMessage> TakeMessage(const wire::Envelope& envelope);

}  // namespace toucanknot

#endif  // SRC_PEER_WIRE_CONVERT_H_
