#ifndef INCLUDE_CLIENTS_CLIENT_PART_H_
#define INCLUDE_CLIENTS_CLIENT_PART_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/error.h"
#include "include/clients/client_prefix.h"
#include "include/clients/site_ranges.h"

namespace toucanknot {

// A part or a manifest is malformed; nothing of it is used.
class MalformedPartError : public Error {
 public:
  using Error::Error;
};

// Limit on the number of ranges of one part; keeps it far below a megabyte.
inline constexpr size_t kMaxPartRanges = 16'384;

// The name of a part or manifest: 32 hexadecimal digits of its SHA-256.
std::string PartName(std::string_view bytes);

// Consecutive ranges of one family. Kept in memory in the encoding in which it
// is stored and sent, with an index of every kStride-th range, so that sending
// it to other hosts needs no second copy. Immutable and thread-safe.
class ClientPart {
 public:
  // Canonical encoding of `ranges`, which must contain 1 to kMaxPartRanges
  // elements.
  static std::string Encode(IpFamily family, std::span<const SiteRange> ranges);

  // Validates all of `bytes`; throws MalformedPartError for anything that
  // Encode() does not produce.
  explicit ClientPart(std::string bytes);

  IpFamily family() const { return family_; }
  AddressBits first_start() const { return index_.front().start; }
  AddressBits last_start() const { return last_start_; }
  size_t range_count() const { return range_count_; }
  const std::string& bytes() const { return bytes_; }
  // Memory used by the part, in bytes.
  size_t MemoryBytes() const;

  // The site of the range that contains `address`, which must not be less than
  // first_start().
  SiteIndex Find(AddressBits address) const;

 private:
  static constexpr size_t kStride = 32;

  // Index entry, for every kStride-th range.
  struct IndexEntry {
    AddressBits start;
    // Offset of the record after this range in `bytes_`.
    uint32_t offset;
    SiteIndex site;
  };

  void ValidateAndIndex();

  std::string bytes_;
  IpFamily family_ = IpFamily::kV4;
  std::vector<IndexEntry> index_;
  AddressBits last_start_ = 0;
  size_t range_count_ = 0;
};

using ClientPartPtr = std::shared_ptr<const ClientPart>;

}  // namespace toucanknot

#endif  // INCLUDE_CLIENTS_CLIENT_PART_H_
