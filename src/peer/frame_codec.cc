#include "include/peer/frame_codec.h"

#include <utility>

namespace toucanknot {
namespace {

// An empty buffer with a larger capacity than this is shrunk, in bytes.
constexpr size_t kMaxIdleBufferBytes = 16 << 10;

void AppendBigEndian(std::string* out, uint64_t value, size_t bytes) {
  for (size_t i = bytes; i > 0; --i)
    out->push_back(static_cast<char>(value >> (8 * (i - 1))));
}

// The data covered by a frame's MAC.
std::string SignedText(const std::string& nonce,
                       uint64_t number,
                       uint8_t key_id,
                       std::string_view body) {
  std::string text;
  text.reserve(nonce.size() + 10 + body.size());
  text = nonce;
  AppendBigEndian(&text, number, sizeof(number));
  text.push_back(static_cast<char>(kProtocolVersion));
  text.push_back(static_cast<char>(key_id));
  text.append(body);
  return text;
}

}  // namespace

BadFrameError::BadFrameError(FrameError reason)
    : Error("bad frame: " + std::string(kFrameErrorNames.Name(reason))),
      reason_(reason) {}

FrameSigner::FrameSigner(std::shared_ptr<const FleetKeys> keys,
                         std::string nonce)
    : keys_(std::move(keys)), nonce_(std::move(nonce)) {}

std::string FrameSigner::Hello() const {
  return SignFrame(0, {});
}

std::string FrameSigner::SignBody(std::string_view body) {
  if (kFrameHeadBytes + body.size() > kMaxFrameBytes)
    throw BadFrameError(FrameError::kOversized);
  return SignFrame(next_number_++, body);
}

std::string FrameSigner::SignFrame(uint64_t number,
                                   std::string_view body) const {
  const size_t length = kFrameHeadBytes + body.size();
  const uint8_t key_id = keys_->active_id();
  const Mac mac = keys_->Sign(SignedText(nonce_, number, key_id, body));
  std::string frame;
  frame.reserve(kLengthBytes + length);
  AppendBigEndian(&frame, length, kLengthBytes);
  frame.push_back(static_cast<char>(kProtocolVersion));
  frame.push_back(static_cast<char>(key_id));
  frame.append(reinterpret_cast<const char*>(mac.data()), mac.size());
  frame.append(body);
  return frame;
}

FrameVerifier::FrameVerifier(std::shared_ptr<const FleetKeys> keys,
                             std::string nonce)
    : keys_(std::move(keys)), nonce_(std::move(nonce)) {}

void FrameVerifier::Feed(std::string_view bytes) {
  if (failed_)
    return;
  buf_.erase(0, begin_);
  begin_ = 0;
  if (buf_.empty() && buf_.capacity() > kMaxIdleBufferBytes)
    buf_.shrink_to_fit();
  buf_.append(bytes);
}

std::optional<std::string> FrameVerifier::NextBody() {
  if (failed_)
    throw BadFrameError(*failed_);
  if (next_number_ == 0 && !ReadFrame(kFrameHeadBytes))
    return std::nullopt;
  return ReadFrame(kMaxFrameBytes);
}

std::optional<std::string> FrameVerifier::ReadFrame(size_t max_length) {
  if (buf_.size() - begin_ < kLengthBytes)
    return std::nullopt;
  const uint32_t length = PeekLength();
  if (length > max_length)
    Fail(FrameError::kOversized);
  if (length < kFrameHeadBytes)
    Fail(FrameError::kTooShort);
  if (buf_.size() - begin_ - kLengthBytes < length)
    return std::nullopt;
  const std::string_view all = buf_;
  std::string body = VerifyFrame(all.substr(begin_ + kLengthBytes, length));
  begin_ += kLengthBytes + length;
  return body;
}

void FrameVerifier::Fail(FrameError reason) {
  failed_ = reason;
  buf_.clear();
  begin_ = 0;
  throw BadFrameError(reason);
}

uint32_t FrameVerifier::PeekLength() const {
  uint32_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i)
    length = (length << 8) | static_cast<uint8_t>(buf_[begin_ + i]);
  return length;
}

std::string FrameVerifier::VerifyFrame(std::string_view frame) {
  if (static_cast<uint8_t>(frame[0]) != kProtocolVersion)
    Fail(FrameError::kUnknownVersion);
  const auto key_id = static_cast<uint8_t>(frame[1]);
  std::string body(frame.substr(kFrameHeadBytes));
  const std::string text = SignedText(nonce_, next_number_, key_id, body);
  if (!keys_->Verify(key_id, text, frame.substr(2, kMacBytes)))
    Fail(FrameError::kNotAuthentic);
  ++next_number_;
  return body;
}

}  // namespace toucanknot
