#ifndef INCLUDE_PEER_ENVELOPE_H_
#define INCLUDE_PEER_ENVELOPE_H_

#include <optional>
#include <string>
#include <string_view>

#include "include/base/error.h"
#include "include/peer/messages.h"

namespace toucanknot {

// A frame's body violates the protocol.
class MalformedMessageError : public Error {
 public:
  using Error::Error;
};

// A message with its sender; the content of a frame's body.
struct Envelope {
  PeerSender sender;
  // Empty when this release does not know the kind of the message.
  std::optional<PeerMessage> message;

  bool operator==(const Envelope&) const = default;
};

// Encodes the body of a frame. The same body can be signed for any number of
// connections.
std::string EncodeEnvelope(const PeerSender& sender,
                           const PeerMessage& message);

// Decodes a body. Ignores unknown fields and kinds of messages. Throws
// MalformedMessageError for anything else that EncodeEnvelope() would not
// write: values out of range, counts that exceed the number of bytes, no
// sender.
Envelope DecodeEnvelope(std::string_view body);

}  // namespace toucanknot

#endif  // INCLUDE_PEER_ENVELOPE_H_
