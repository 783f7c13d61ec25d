#ifndef INCLUDE_CLIENTS_CLIENT_PREFIX_H_
#define INCLUDE_CLIENTS_CLIENT_PREFIX_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "include/base/enum_names.h"

namespace toucanknot {

// The IP address families; each has its own look-up table.
enum class IpFamily : uint8_t { kV4, kV6 };

inline constexpr EnumNames<IpFamily, 2> kIpFamilyNames{{"ipv4", "ipv6"}};

// An IP address as an unsigned integer; IPv4 uses the low 32 bits.
using AddressBits = unsigned __int128;

// The number of bits in an IP address.
constexpr int WidthOf(IpFamily family) {
  return family == IpFamily::kV4 ? 32 : 128;
}

// The highest IP address.
constexpr AddressBits MaxAddress(IpFamily family) {
  return ~AddressBits{0} >> (128 - WidthOf(family));
}

// The IP address of a client.
struct ClientAddress {
  IpFamily family = IpFamily::kV4;
  AddressBits bits = 0;

  bool operator==(const ClientAddress&) const = default;
  // Parses "192.0.2.1" or "2001:db8::1". IPv4-mapped IPv6 addresses such as
  // ::ffff:192.0.2.1 are converted to IPv4.
  static std::optional<ClientAddress> Parse(std::string_view text);
};

// A block of clients: all IP addresses that share the first `length` bits.
struct ClientPrefix {
  IpFamily family = IpFamily::kV4;
  // The lowest IP address of the block.
  AddressBits first = 0;
  int length = 0;

  bool operator==(const ClientPrefix&) const = default;
  // The highest IP address of the block.
  AddressBits Last() const;
  // CIDR notation, such as "192.0.2.0/24".
  std::string ToString() const;
  // Parses CIDR notation; empty when malformed or when bits after the first
  // `length` are set.
  static std::optional<ClientPrefix> Parse(std::string_view text);
};

// Index of a site in the list of sites.
using SiteIndex = uint16_t;

// Means that no block covers an IP address.
inline constexpr SiteIndex kNoSite = 0xffff;

// A block of clients and the site that serves it.
struct ClientBlock {
  ClientPrefix prefix;
  SiteIndex site = kNoSite;
};

}  // namespace toucanknot

#endif  // INCLUDE_CLIENTS_CLIENT_PREFIX_H_
