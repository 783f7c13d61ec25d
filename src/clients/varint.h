#ifndef SRC_CLIENTS_VARINT_H_
#define SRC_CLIENTS_VARINT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "include/clients/client_part.h"

namespace toucanknot {

// Appends `value` as a variable-length integer: groups of 7 bits, lowest first;
// all bytes but the last have the top bit set.
inline void PutVarint(std::string* out, AddressBits value) {
  while (value >= 0x80) {
    out->push_back(static_cast<char>(static_cast<uint8_t>(value) | 0x80));
    value >>= 7;
  }
  out->push_back(static_cast<char>(value));
}

// Reads untrusted bytes; throws MalformedPartError.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : bytes_(bytes) {}

  uint8_t TakeByte() {
    if (AtEnd())
      throw MalformedPartError("truncated");
    return static_cast<uint8_t>(bytes_[at_++]);
  }

  // Rejects encodings that are longer than necessary.
  AddressBits TakeVarint() {
    AddressBits value = 0;
    for (int shift = 0; shift < 128; shift += 7) {
      const uint8_t byte = TakeByte();
      const AddressBits group = byte & 0x7f;
      if ((group << shift) >> shift != group || (byte == 0 && shift > 0))
        throw MalformedPartError("number is not canonical");
      value |= group << shift;
      if (byte < 0x80)
        return value;
    }
    throw MalformedPartError("number is too long");
  }

  std::string_view TakeBytes(size_t n) {
    if (bytes_.size() - at_ < n)
      throw MalformedPartError("truncated");
    at_ += n;
    return bytes_.substr(at_ - n, n);
  }

  bool AtEnd() const { return at_ == bytes_.size(); }
  uint32_t offset() const { return static_cast<uint32_t>(at_); }

 private:
  std::string_view bytes_;
  size_t at_ = 0;
};

// Reads bytes that were validated with ByteReader.
class UncheckedReader {
 public:
  explicit UncheckedReader(const char* at) : at_(at) {}

  uint8_t TakeByte() { return static_cast<uint8_t>(*at_++); }

  AddressBits TakeVarint() {
    uint64_t byte = TakeByte();
    uint64_t low = byte & 0x7f;
    int shift = 7;
    // Fast path: nearly all numbers fit into 64 bits.
    for (; byte >= 0x80 && shift < 63; shift += 7) {
      byte = TakeByte();
      low |= (byte & 0x7f) << shift;
    }
    AddressBits value = low;
    for (; byte >= 0x80; shift += 7) {
      byte = TakeByte();
      value |= AddressBits{byte & 0x7f} << shift;
    }
    return value;
  }

 private:
  const char* at_;
};

}  // namespace toucanknot

#endif  // SRC_CLIENTS_VARINT_H_
