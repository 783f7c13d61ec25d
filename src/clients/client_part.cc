#include "include/clients/client_part.h"

#include <algorithm>
#include <utility>

#include "include/base/digest.h"
#include "src/clients/varint.h"

namespace toucanknot {
namespace {

// Layout: magic byte, family byte, count, start and site of the first range,
// then for each further range its distance from the previous start and its
// site. A distance is a shift byte and an odd number, because range starts have
// many trailing zeros. A site is stored as its index plus one; 0 is kNoSite.
constexpr uint8_t kMagic = 0xc1;
constexpr size_t kNameChars = 32;

void AppendSite(std::string* out, SiteIndex site) {
  AppendVarint(out, site == kNoSite ? 0 : AddressBits{site} + 1);
}

SiteIndex ReadSite(ByteReader& in) {
  const AddressBits value = in.ReadVarint();
  if (value > kNoSite)
    throw MalformedPartError("site index out of range");
  return value == 0 ? kNoSite : static_cast<SiteIndex>(value - 1);
}

int TrailingZeros(AddressBits value) {
  const auto low = static_cast<uint64_t>(value);
  return low ? __builtin_ctzll(low)
             : 64 + __builtin_ctzll(static_cast<uint64_t>(value >> 64));
}

void AppendDistance(std::string* out, AddressBits distance) {
  const int shift = TrailingZeros(distance);
  out->push_back(static_cast<char>(shift));
  AppendVarint(out, distance >> shift);
}

AddressBits ReadDistance(ByteReader& in) {
  const uint8_t shift = in.ReadByte();
  const AddressBits odd = in.ReadVarint();
  if (shift >= 128 || (odd & 1) == 0 || (odd << shift) >> shift != odd)
    throw MalformedPartError("distance is not canonical");
  return odd << shift;
}

}  // namespace

std::string PartName(std::string_view bytes) {
  return DigestOf(bytes).substr(0, kNameChars);
}

std::string ClientPart::Encode(IpFamily family,
                               std::span<const SiteRange> ranges) {
  std::string out;
  out.push_back(static_cast<char>(kMagic));
  out.push_back(static_cast<char>(family));
  AppendVarint(&out, ranges.size());
  AppendVarint(&out, ranges.front().start);
  AppendSite(&out, ranges.front().site);
  for (size_t i = 1; i < ranges.size(); ++i) {
    AppendDistance(&out, ranges[i].start - ranges[i - 1].start);
    AppendSite(&out, ranges[i].site);
  }
  out.shrink_to_fit();
  return out;
}

ClientPart::ClientPart(std::string bytes) : bytes_(std::move(bytes)) {
  ValidateAndIndex();
}

void ClientPart::ValidateAndIndex() {
  ByteReader in(bytes_);
  if (in.ReadByte() != kMagic)
    throw MalformedPartError("not a client part");
  const uint8_t family = in.ReadByte();
  if (family > static_cast<uint8_t>(IpFamily::kV6))
    throw MalformedPartError("unknown IP address family");
  family_ = static_cast<IpFamily>(family);
  const AddressBits count = in.ReadVarint();
  if (count == 0 || count > kMaxPartRanges)
    throw MalformedPartError("number of ranges out of range");
  range_count_ = static_cast<size_t>(count);
  AddressBits start = in.ReadVarint();
  if (start > MaxAddress(family_))
    throw MalformedPartError("IP address out of range");
  SiteIndex site = ReadSite(in);
  index_.reserve((range_count_ + kStride - 1) / kStride);
  index_.push_back({start, in.offset(), site});
  for (size_t i = 1; i < range_count_; ++i) {
    const AddressBits distance = ReadDistance(in);
    const SiteIndex next = ReadSite(in);
    if (distance > MaxAddress(family_) - start)
      throw MalformedPartError("IP address out of range");
    if (next == site)
      throw MalformedPartError("adjacent ranges with the same site");
    start += distance;
    site = next;
    if (i % kStride == 0)
      index_.push_back({start, in.offset(), site});
  }
  if (!in.AtEnd())
    throw MalformedPartError("trailing bytes after the last range");
  last_start_ = start;
}

size_t ClientPart::MemoryBytes() const {
  return sizeof(*this) + bytes_.capacity() +
         index_.capacity() * sizeof(IndexEntry);
}

SiteIndex ClientPart::Find(AddressBits address) const {
  const auto entry = std::upper_bound(index_.begin(), index_.end(), address,
                                      [](AddressBits a, const IndexEntry& m) {
                                        return a < m.start;
                                      }) -
                     1;
  const size_t first = static_cast<size_t>(entry - index_.begin()) * kStride;
  const size_t last = std::min(first + kStride, range_count_);
  UncheckedReader in(bytes_.data() + entry->offset);
  AddressBits start = entry->start;
  SiteIndex site = entry->site;
  for (size_t i = first + 1; i < last; ++i) {
    const uint8_t shift = in.ReadByte();
    start += in.ReadVarint() << shift;
    if (start > address)
      break;
    const auto value = static_cast<SiteIndex>(in.ReadVarint());
    site = static_cast<SiteIndex>(value - 1);
  }
  return site;
}

}  // namespace toucanknot
