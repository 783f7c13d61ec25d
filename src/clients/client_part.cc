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
constexpr size_t kNameDigits = 32;

void PutSite(std::string* out, SiteIndex site) {
  PutVarint(out, site == kNoSite ? 0 : AddressBits{site} + 1);
}

SiteIndex TakeSite(ByteReader& in) {
  const AddressBits value = in.TakeVarint();
  if (value > kNoSite)
    throw MalformedPartError("site index out of range");
  return value == 0 ? kNoSite : static_cast<SiteIndex>(value - 1);
}

int TrailingZeros(AddressBits value) {
  const auto low = static_cast<uint64_t>(value);
  return low ? __builtin_ctzll(low)
             : 64 + __builtin_ctzll(static_cast<uint64_t>(value >> 64));
}

void PutDistance(std::string* out, AddressBits distance) {
  const int shift = TrailingZeros(distance);
  out->push_back(static_cast<char>(shift));
  PutVarint(out, distance >> shift);
}

AddressBits TakeDistance(ByteReader& in) {
  const uint8_t shift = in.TakeByte();
  const AddressBits odd = in.TakeVarint();
  if (shift >= 128 || (odd & 1) == 0 || (odd << shift) >> shift != odd)
    throw MalformedPartError("distance is not canonical");
  return odd << shift;
}

}  // namespace

std::string PartName(std::string_view bytes) {
  return DigestOf(bytes).substr(0, kNameDigits);
}

std::string ClientPart::Encode(IpFamily family,
                               std::span<const SiteRange> ranges) {
  std::string out;
  out.push_back(static_cast<char>(kMagic));
  out.push_back(static_cast<char>(family));
  PutVarint(&out, ranges.size());
  PutVarint(&out, ranges.front().start);
  PutSite(&out, ranges.front().site);
  for (size_t i = 1; i < ranges.size(); ++i) {
    PutDistance(&out, ranges[i].start - ranges[i - 1].start);
    PutSite(&out, ranges[i].site);
  }
  out.shrink_to_fit();
  return out;
}

ClientPart::ClientPart(std::string bytes) : bytes_(std::move(bytes)) {
  CheckAndIndex();
}

void ClientPart::CheckAndIndex() {
  ByteReader in(bytes_);
  if (in.TakeByte() != kMagic)
    throw MalformedPartError("not a client part");
  const uint8_t family = in.TakeByte();
  if (family > static_cast<uint8_t>(IpFamily::kV6))
    throw MalformedPartError("unknown IP address family");
  family_ = static_cast<IpFamily>(family);
  const AddressBits count = in.TakeVarint();
  if (count == 0 || count > kMaxPartRanges)
    throw MalformedPartError("number of ranges out of range");
  range_count_ = static_cast<size_t>(count);
  AddressBits start = in.TakeVarint();
  if (start > MaxAddress(family_))
    throw MalformedPartError("IP address out of range");
  SiteIndex site = TakeSite(in);
  marks_.reserve((range_count_ + kStride - 1) / kStride);
  marks_.push_back({start, in.offset(), site});
  for (size_t i = 1; i < range_count_; ++i) {
    const AddressBits distance = TakeDistance(in);
    const SiteIndex next = TakeSite(in);
    if (distance > MaxAddress(family_) - start)
      throw MalformedPartError("IP address out of range");
    if (next == site)
      throw MalformedPartError("adjacent ranges with the same site");
    start += distance;
    site = next;
    if (i % kStride == 0)
      marks_.push_back({start, in.offset(), site});
  }
  if (!in.AtEnd())
    throw MalformedPartError("trailing bytes after the last range");
  last_start_ = start;
}

size_t ClientPart::MemoryBytes() const {
  return sizeof(*this) + bytes_.capacity() + marks_.capacity() * sizeof(Mark);
}

SiteIndex ClientPart::Find(AddressBits address) const {
  const auto mark = std::upper_bound(marks_.begin(), marks_.end(), address,
                                     [](AddressBits a, const Mark& m) {
                                       return a < m.start;
                                     }) -
                    1;
  const size_t first = static_cast<size_t>(mark - marks_.begin()) * kStride;
  const size_t last = std::min(first + kStride, range_count_);
  UncheckedReader in(bytes_.data() + mark->offset);
  AddressBits start = mark->start;
  SiteIndex site = mark->site;
  for (size_t i = first + 1; i < last; ++i) {
    const uint8_t shift = in.TakeByte();
    start += in.TakeVarint() << shift;
    if (start > address)
      break;
    const auto value = static_cast<SiteIndex>(in.TakeVarint());
    site = static_cast<SiteIndex>(value - 1);
  }
  return site;
}

}  // namespace toucanknot
