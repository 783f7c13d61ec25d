#ifndef SRC_CLIENTS_VARINT_H_
#define SRC_CLIENTS_VARINT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "include/clients/client_part.h"

namespace toucanknot {

// Appends `value` as a variable-length integer: groups of 7 bits, lowest first;
// all bytes but the last have the top bit set.
inline void AppendVarint(std::string* out, AddressBits value) {
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

  uint8_t ReadByte() {
    if (AtEnd())
      throw MalformedPartError("input is truncated");
    return static_cast<uint8_t>(bytes_[position_++]);
  }

  // Rejects encodings that are longer than necessary.
  AddressBits ReadVarint() {
    AddressBits value = 0;
    for (int shift = 0; shift < 128; shift += 7) {
      const uint8_t byte = ReadByte();
      const AddressBits group = byte & 0x7f;
      if ((group << shift) >> shift != group || (byte == 0 && shift > 0))
        throw MalformedPartError("number is not canonical");
      value |= group << shift;
      if (byte < 0x80)
        return value;
    }
    throw MalformedPartError("number is too long");
  }

  std::string_view ReadBytes(size_t n) {
    if (bytes_.size() - position_ < n)
      throw MalformedPartError("input is truncated");
    position_ += n;
    return bytes_.substr(position_ - n, n);
  }

  bool AtEnd() const { return position_ == bytes_.size(); }
  uint32_t offset() const { return static_cast<uint32_t>(position_); }

 private:
  std::string_view bytes_;
  size_t position_ = 0;
};

// Reads bytes that were validated with ByteReader.
class UncheckedReader {
 public:
  explicit UncheckedReader(const char* position) : position_(position) {}

  uint8_t ReadByte() { return static_cast<uint8_t>(*position_++); }

  AddressBits ReadVarint() {
    uint64_t byte = ReadByte();
    uint64_t low = byte & 0x7f;
    int shift = 7;
    // Fast path: nearly all numbers fit into 64 bits.
    for (; byte >= 0x80 && shift < 63; shift += 7) {
      byte = ReadByte();
      low |= (byte & 0x7f) << shift;
    }
    AddressBits value = low;
    for (; byte >= 0x80; shift += 7) {
      byte = ReadByte();
      value |= AddressBits{byte & 0x7f} << shift;
    }
    return value;
  }

 private:
  const char* position_;
};

}  // namespace toucanknot

#endif  // SRC_CLIENTS_VARINT_H_
