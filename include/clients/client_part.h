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

// A part or a manifest is not what the builder writes; it is refused whole.
class MalformedPartError : public Error {
 public:
  using Error::Error;
};

// The most ranges that one part holds; it is far below a megabyte then.
inline constexpr size_t kMaxPartRanges = 16'384;

// The name of a part or manifest: 32 hexadecimal digits of its SHA-256.
std::string PartName(std::string_view bytes);

// Some consecutive ranges of one family. Kept in memory as it is stored and
// sent, with an index to every kStride-th range, so that passing it on needs
// no second copy. Immutable; may be read from any thread.
class ClientPart {
 public:
  // One text for the same ranges. `ranges` is not empty and has at most
  // kMaxPartRanges.
  static std::string Encode(IpFamily family, std::span<const SiteRange> ranges);

  // Checks all of `bytes`; throws MalformedPartError for anything that
  // Encode() would not write.
  explicit ClientPart(std::string bytes);

  IpFamily family() const { return family_; }
  AddressBits first_start() const { return marks_.front().start; }
  AddressBits last_start() const { return last_start_; }
  size_t range_count() const { return range_count_; }
  const std::string& bytes() const { return bytes_; }
  // Memory that the part holds, in bytes.
  size_t MemoryBytes() const;

  // The site of the range that holds `address`, which is at or after
  // first_start().
  SiteIndex Find(AddressBits address) const;

 private:
  static constexpr size_t kStride = 32;

  // Where a range begins, for every kStride-th range.
  struct Mark {
    AddressBits start;
    // Of the record behind that range.
    uint32_t offset;
    SiteIndex site;
  };

  void CheckAndIndex();

  std::string bytes_;
  IpFamily family_ = IpFamily::kV4;
  std::vector<Mark> marks_;
  AddressBits last_start_ = 0;
  size_t range_count_ = 0;
};

using ClientPartPtr = std::shared_ptr<const ClientPart>;

}  // namespace toucanknot

#endif  // INCLUDE_CLIENTS_CLIENT_PART_H_
