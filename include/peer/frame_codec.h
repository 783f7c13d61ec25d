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

// Frames of the protocol between entry hosts. A connection carries frames in
// one direction, from the host that opened it. The accepting host first sends a
// nonce of kNonceBytes random bytes. Each frame consists of
//
//   length   4 bytes, big-endian: number of bytes that follow
//   version  1 byte
//   key id   1 byte
//   MAC      16 bytes, over nonce, frame number (8 bytes, from 0), version, key
//            id and body
//   body     an encoded Envelope
//
// The first frame, number 0, is the hello, which has no body. Longer frames are
// rejected until it has authenticated the sender, so that unauthenticated peers
// cannot make this host allocate memory.
//
// Replayed frames are rejected: every connection has its own nonce, and on the
// same connection the frame number has advanced. An attacker who changes or
// drops bytes can only break the connection. The content is not encrypted.

inline constexpr size_t kNonceBytes = 16;
inline constexpr uint8_t kProtocolVersion = 1;
inline constexpr size_t kLengthBytes = 4;
inline constexpr size_t kFrameHeadBytes = 2 + kMacBytes;
// Large enough for a part of the configuration (one megabyte) with its
// envelope.
inline constexpr size_t kMaxFrameBytes = (1 << 20) + (64 << 10);

// The reason why a connection must be closed.
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

// Signs and frames bodies for one connection. Not thread-safe.
class FrameSigner {
 public:
  // `nonce` is the nonce that the accepting host sent.
  FrameSigner(std::shared_ptr<const FleetKeys> keys, std::string nonce);

  // The connection's first frame.
  std::string Hello() const;
  // Returns the next frame after the hello, ready to be written. Throws
  // BadFrameError (kOversized) when the body is too long; the connection stays
  // usable in that case.
  std::string SignBody(std::string_view body);

 private:
  std::string SignFrame(uint64_t number, std::string_view body) const;

  std::shared_ptr<const FleetKeys> keys_;
  std::string nonce_;
  uint64_t next_number_ = 1;
};

// Splits the bytes received on one connection into frames, verifies them and
// returns their bodies. Buffers at most one incomplete frame and the bytes of
// the last Feed(). Not thread-safe.
class FrameVerifier {
 public:
  // `nonce` is the nonce that this host sent.
  FrameVerifier(std::shared_ptr<const FleetKeys> keys, std::string nonce);

  // Appends received bytes.
  void Feed(std::string_view bytes);
  // Returns the body of the next complete frame after the hello, or nullopt
  // when more bytes are needed. Throws BadFrameError for an invalid frame and
  // on every call after it; the connection must be closed.
  std::optional<std::string> NextBody();

 private:
  std::optional<std::string> ReadFrame(size_t max_length);
  [[noreturn]] void Fail(FrameError reason);
  uint32_t PeekLength() const;
  std::string VerifyFrame(std::string_view frame);

  std::shared_ptr<const FleetKeys> keys_;
  std::string nonce_;
  uint64_t next_number_ = 0;
  std::string buf_;
  size_t begin_ = 0;
  std::optional<FrameError> failed_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PEER_FRAME_CODEC_H_
