#ifndef INCLUDE_CLIENTS_CLIENT_PREFIX_H_
#define INCLUDE_CLIENTS_CLIENT_PREFIX_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "include/base/enum_names.h"

namespace toucanknot {

// The two kinds of IP numbers; each has a look-up table of its own.
enum class IpFamily : uint8_t { kV4, kV6 };

inline constexpr EnumNames<IpFamily, 2> kIpFamilyNames{{"ipv4", "ipv6"}};

// An IP number as an unsigned integer: 32 bits of it for IPv4.
using AddressBits = unsigned __int128;

// Bits in an IP number.
constexpr int WidthOf(IpFamily family) {
  return family == IpFamily::kV4 ? 32 : 128;
}

// The highest IP number.
constexpr AddressBits MaxAddress(IpFamily family) {
  return ~AddressBits{0} >> (128 - WidthOf(family));
}

// One client's IP number.
struct ClientAddress {
  IpFamily family = IpFamily::kV4;
  AddressBits bits = 0;

  bool operator==(const ClientAddress&) const = default;
  // Reads "192.0.2.1" or "2001:db8::1". An IPv6 number that stands for an IPv4
  // one (::ffff:192.0.2.1) is read as that.
  static std::optional<ClientAddress> Parse(std::string_view text);
};

// A block of clients: all IP numbers that begin with the first `length` bits.
struct ClientPrefix {
  IpFamily family = IpFamily::kV4;
  // The lowest IP number of the block.
  AddressBits first = 0;
  int length = 0;

  bool operator==(const ClientPrefix&) const = default;
  // The highest IP number of the block.
  AddressBits Last() const;
  // "192.0.2.0/24".
  std::string ToString() const;
  // Reads what ToString() writes; nothing when bits behind the length are set.
  static std::optional<ClientPrefix> Parse(std::string_view text);
};

// Number of a site in the list of sites.
using SiteIndex = uint16_t;

// Says that no block covers an IP number.
inline constexpr SiteIndex kNoSite = 0xffff;

// A block of clients and the site that serves it.
struct ClientBlock {
  ClientPrefix prefix;
  SiteIndex site = kNoSite;
};

}  // namespace toucanknot

#endif  // INCLUDE_CLIENTS_CLIENT_PREFIX_H_
