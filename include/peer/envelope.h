#ifndef INCLUDE_PEER_ENVELOPE_H_
#define INCLUDE_PEER_ENVELOPE_H_

#include <optional>
#include <string>
#include <string_view>

#include "include/base/error.h"
#include "include/peer/messages.h"

namespace toucanknot {

// A frame's body is not what the protocol says.
class MalformedMessageError : public Error {
 public:
  using Error::Error;
};

// A message with its sender, as a frame's body carries it.
struct Envelope {
  PeerSender sender;
  // Nothing when the message is of a kind that this release does not know.
  std::optional<PeerMessage> message;

  bool operator==(const Envelope&) const = default;
};

// The body of a frame. It can be sealed for any number of connections.
std::string EncodeEnvelope(const PeerSender& sender,
                           const PeerMessage& message);

// Reads a body. Fields and kinds of messages that are not known are ignored.
// Throws MalformedMessageError for anything else that EncodeEnvelope() would
// not write: values out of range, counts that exceed the bytes, no sender.
Envelope DecodeEnvelope(std::string_view body);

}  // namespace toucanknot

#endif  // INCLUDE_PEER_ENVELOPE_H_
