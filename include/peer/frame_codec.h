#ifndef INCLUDE_PEER_FRAME_CODEC_H_
#define INCLUDE_PEER_FRAME_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "include/base/enum_names.h"
#include "include/base/error.h"
#include "include/peer/fleet_keys.h"

namespace toucanknot {

// Frames of the inner protocol. A connection carries frames one way, from the
// host that opened it. The accepting host first sends a nonce of kNonceBytes
// random bytes. Each frame is
//
//   length   4 bytes, big-endian: of all that follows
//   version  1 byte
//   key id   1 byte
//   MAC      16 bytes, of nonce, frame number (8 bytes, from 0), version, key
//            id and body
//   body     an encoded Envelope
//
// The first frame, number 0, is the hello: it has no body. Until it has proved
// the sender authentic, no longer frame is taken, and so no memory is spent.
//
// A recorded frame is accepted nowhere else: another connection has another
// nonce, and on the same connection its number has passed. Who can change or
// drop bytes can only end the connection. What is not hidden is the content.

inline constexpr size_t kNonceBytes = 16;
inline constexpr uint8_t kProtocolVersion = 1;
inline constexpr size_t kLengthBytes = 4;
inline constexpr size_t kFrameHeadBytes = 2 + kMacBytes;
// A part of the configuration (a megabyte) and its envelope fit in.
inline constexpr size_t kMaxFrameBytes = (1 << 20) + (64 << 10);

// Why a connection must be closed.
enum class FrameError {
  kOversized,
  kTooShort,
  kUnknownVersion,
  kNotAuthentic,
};

inline constexpr EnumNames<FrameError, 4> kFrameErrorNames{
    {"oversized", "too-short", "unknown-version", "not-authentic"}};

class BadFrameError : public Error {
 public:
  explicit BadFrameError(FrameError reason);
  FrameError reason() const { return reason_; }

 private:
  FrameError reason_;
};

// Seals bodies for one connection. Not thread-safe.
class FrameSigner {
 public:
  // `nonce` is what the accepting host sent.
  FrameSigner(std::shared_ptr<const FleetKeys> keys, std::string nonce);

  // The connection's first frame.
  std::string Hello() const;
  // The next frame after the hello, ready to be written. Throws BadFrameError
  // (kOversized) when the body is too long; the connection stays usable then.
  std::string Seal(std::string_view body);

 private:
  std::string SealAs(uint64_t number, std::string_view body) const;

  std::shared_ptr<const FleetKeys> keys_;
  std::string nonce_;
  uint64_t next_ = 1;
};

// Takes the bytes of one connection and gives the bodies of its frames. Keeps
// at most one frame's bytes besides the last piece that was fed. Not
// thread-safe.
class FrameVerifier {
 public:
  // `nonce` is what this host sent.
  FrameVerifier(std::shared_ptr<const FleetKeys> keys, std::string nonce);

  // Adds bytes as they come.
  void Feed(std::string_view bytes);
  // The next whole frame's body after the hello, or nothing when more bytes are
  // needed. Throws BadFrameError, from then on at every call: the connection
  // must be closed.
  std::optional<std::string> Next();

 private:
  std::optional<std::string> TakeFrame(size_t max_length);
  [[noreturn]] void Fail(FrameError reason);
  uint32_t PeekLength() const;
  std::string OpenFrame(std::string_view frame);

  std::shared_ptr<const FleetKeys> keys_;
  std::string nonce_;
  uint64_t next_ = 0;
  std::string buf_;
  size_t begin_ = 0;
  std::optional<FrameError> failed_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PEER_FRAME_CODEC_H_
