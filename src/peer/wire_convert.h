#ifndef SRC_PEER_WIRE_CONVERT_H_
#define SRC_PEER_WIRE_CONVERT_H_

#include <optional>

#include "include/peer/messages.h"
#include "src/peer/gen/peer_types.h"

namespace toucanknot {

// Conversion between the message structs and the generated wire structs.

// Sets the member of `envelope` that corresponds to the type of `message`.
void WriteMessage(const PeerMessage& message, wire::Envelope* envelope);

// Reads the sender. Throws MalformedMessageError when there is none.
PeerSender ReadSender(const wire::Envelope& envelope);

// Reads the message; returns nullopt when no known member is set. Throws
// MalformedMessageError when several are set or a value is out of range.
std::optional<PeerMessage> ReadMessage(const wire::Envelope& envelope);

}  // namespace toucanknot

#endif  // SRC_PEER_WIRE_CONVERT_H_
