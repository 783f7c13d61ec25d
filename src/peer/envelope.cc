#include "include/peer/envelope.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <limits>
#include <memory>

#include "src/peer/wire_convert.h"

namespace toucanknot {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

// Upper bound for the length of any list in the protocol.
constexpr int32_t kMaxListLength = 20'000;

}  // namespace

std::string EncodeEnvelope(const PeerSender& sender,
                           const PeerMessage& message) {
  wire::Envelope envelope;
  envelope.__set_sender(sender.host.str());
  envelope.__set_incarnation(static_cast<int64_t>(sender.incarnation));
  WriteMessage(message, &envelope);
  const auto buf = std::make_shared<TMemoryBuffer>();
  Protocol protocol(buf);
  envelope.write(&protocol);
  return buf->getBufferAsString();
}

Envelope DecodeEnvelope(std::string_view body) {
  try {
    // The buffer does not copy or modify the bytes, so the const_cast is safe.
    const auto buf = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<uint8_t*>(const_cast<char*>(body.data())),
        static_cast<uint32_t>(body.size()));
    Protocol protocol(buf, static_cast<int32_t>(body.size()), kMaxListLength);
    wire::Envelope envelope;
    envelope.read(&protocol);
    if (buf->available_read() != 0)
      throw MalformedMessageError("unexpected bytes after the message");
    return {ReadSender(envelope), ReadMessage(envelope)};
  } catch (const apache::thrift::TException& e) {
    throw MalformedMessageError(e.what());
  }
}

}  // namespace toucanknot
