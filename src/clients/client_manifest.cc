#include "include/clients/client_manifest.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <span>

#include "src/clients/varint.h"

namespace toucanknot {
namespace {

constexpr uint8_t kMagic = 0xc2;
// Size of a part's name in the manifest.
constexpr size_t kNameBytes = 16;
// A part ends before a range whose start hashes to 0 under kCutMask, once the
// part has kMinPartRanges ranges, and always at kMaxPartRanges.
constexpr size_t kMinPartRanges = 1024;
constexpr uint64_t kCutMask = 4095;

constexpr std::string_view kHexDigits = "0123456789abcdef";

void AppendName(std::string* out, const std::string& name) {
  for (size_t i = 0; i < name.size(); i += 2) {
    const size_t high = kHexDigits.find(name[i]);
    const size_t low = kHexDigits.find(name[i + 1]);
    out->push_back(static_cast<char>(high << 4 | low));
  }
}

std::string ReadName(ByteReader& in) {
  std::string name;
  for (const char it : in.ReadBytes(kNameBytes)) {
    const auto byte = static_cast<uint8_t>(it);
    name.push_back(kHexDigits[byte >> 4]);
    name.push_back(kHexDigits[byte & 15]);
  }
  return name;
}

void AppendNames(std::string* out, const std::vector<std::string>& names) {
  AppendVarint(out, names.size());
  for (const std::string& it : names)
    AppendName(out, it);
}

std::vector<std::string> ReadNames(ByteReader& in) {
  std::vector<std::string> names;
  for (AddressBits n = in.ReadVarint(); n > 0; --n)
    names.push_back(ReadName(in));
  return names;
}

bool IsCutPoint(AddressBits start) {
  return (XXH64(&start, sizeof(start), 0) & kCutMask) == 0;
}

std::vector<std::string> SplitIntoParts(
    IpFamily family,
    const std::vector<SiteRange>& ranges,
    std::map<std::string, std::string>* out) {
  std::vector<std::string> names;
  const std::span<const SiteRange> all(ranges);
  size_t begin = 0;
  for (size_t i = 1; i <= ranges.size(); ++i) {
    const size_t n = i - begin;
    const bool is_end = i == ranges.size() || n == kMaxPartRanges ||
                        (n >= kMinPartRanges && IsCutPoint(ranges[i].start));
    if (!is_end)
      continue;
    std::string bytes = ClientPart::Encode(family, all.subspan(begin, n));
    names.push_back(PartName(bytes));
    out->emplace(names.back(), std::move(bytes));
    begin = i;
  }
  return names;
}

bool IsSiteName(std::string_view name) {
  return !name.empty() && std::none_of(name.begin(), name.end(), [](char c) {
    return static_cast<uint8_t>(c) < ' ' || c == '\x7f';
  });
}

}  // namespace

std::vector<std::string> ClientManifest::AllParts() const {
  std::set<std::string> names{sites};
  names.insert(v4.begin(), v4.end());
  names.insert(v6.begin(), v6.end());
  return {names.begin(), names.end()};
}

std::string ClientManifest::Encode() const {
  std::string out(1, static_cast<char>(kMagic));
  AppendName(&out, sites);
  AppendNames(&out, v4);
  AppendNames(&out, v6);
  return out;
}

ClientManifest ClientManifest::Decode(std::string_view bytes) {
  ByteReader in(bytes);
  if (in.ReadByte() != kMagic)
    throw MalformedPartError("not a client manifest");
  ClientManifest manifest;
  manifest.sites = ReadName(in);
  manifest.v4 = ReadNames(in);
  manifest.v6 = ReadNames(in);
  if (!in.AtEnd())
    throw MalformedPartError("trailing bytes after the manifest");
  return manifest;
}

std::string EncodeSites(const std::vector<std::string>& sites) {
  if (sites.size() >= kNoSite)
    throw Error("too many sites");
  std::string out;
  for (const std::string& it : sites) {
    if (!IsSiteName(it))
      throw Error("invalid site name: " + it);
    out += it + "\n";
  }
  return out;
}

std::vector<std::string> DecodeSites(std::string_view bytes) {
  std::vector<std::string> sites;
  while (!bytes.empty()) {
    const size_t end = bytes.find('\n');
    if (end == std::string_view::npos || !IsSiteName(bytes.substr(0, end)))
      throw MalformedPartError("malformed list of sites");
    sites.emplace_back(bytes.substr(0, end));
    bytes.remove_prefix(end + 1);
  }
  if (sites.size() >= kNoSite)
    throw MalformedPartError("too many sites");
  return sites;
}

ClientMapParts BuildClientMap(const std::vector<ClientBlock>& blocks,
                              const std::vector<std::string>& sites) {
  for (const ClientBlock& it : blocks) {
    if (it.site >= sites.size())
      throw Error("unknown site for clients " + it.prefix.ToString());
  }
  ClientMapParts out;
  std::string site_part = EncodeSites(sites);
  ClientManifest manifest;
  manifest.sites = PartName(site_part);
  out.parts.emplace(manifest.sites, std::move(site_part));
  manifest.v4 = SplitIntoParts(IpFamily::kV4,
                               ToSiteRanges(blocks, IpFamily::kV4), &out.parts);
  manifest.v6 = SplitIntoParts(IpFamily::kV6,
                               ToSiteRanges(blocks, IpFamily::kV6), &out.parts);
  out.manifest = manifest.Encode();
  return out;
}

}  // namespace toucanknot
