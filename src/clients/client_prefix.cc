#include "include/clients/client_prefix.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace toucanknot {
namespace {

namespace ip = boost::asio::ip;

ClientAddress FromAddress(const ip::address& address) {
  if (address.is_v4())
    return {IpFamily::kV4, address.to_v4().to_uint()};
  const ip::address_v6 v6 = address.to_v6();
  if (v6.is_v4_mapped()) {
    return {IpFamily::kV4, ip::make_address_v4(ip::v4_mapped, v6).to_uint()};
  }
  AddressBits bits = 0;
  for (const uint8_t it : v6.to_bytes())
    bits = bits << 8 | it;
  return {IpFamily::kV6, bits};
}

// Mask of the bits after the first `length` bits.
AddressBits HostMask(IpFamily family, int length) {
  return length == WidthOf(family) ? 0 : MaxAddress(family) >> length;
}

std::string ToText(IpFamily family, AddressBits bits) {
  if (family == IpFamily::kV4)
    return ip::address_v4(static_cast<uint32_t>(bits)).to_string();
  ip::address_v6::bytes_type bytes;
  for (auto it = bytes.rbegin(); it != bytes.rend(); ++it) {
    *it = static_cast<uint8_t>(bits);
    bits >>= 8;
  }
  return ip::address_v6(bytes).to_string();
}

}  // namespace

std::optional<ClientAddress> ClientAddress::Parse(std::string_view text) {
  boost::system::error_code ec;
  const ip::address address = ip::make_address(text, ec);
  if (ec)
    return std::nullopt;
  return FromAddress(address);
}

AddressBits ClientPrefix::Last() const {
  return first | HostMask(family, length);
}

std::string ClientPrefix::ToString() const {
  return ToText(family, first) + "/" + std::to_string(length);
}

std::optional<ClientPrefix> ClientPrefix::Parse(std::string_view text) {
  const size_t slash = text.find('/');
  if (slash == std::string_view::npos)
    return std::nullopt;
  const auto address = ClientAddress::Parse(text.substr(0, slash));
  const std::string_view digits = text.substr(slash + 1);
  int length = -1;
  const char* end = digits.data() + digits.size();
  const auto [rest, ec] = std::from_chars(digits.data(), end, length);
  if (!address || ec != std::errc() || rest != end || length < 0 ||
      length > WidthOf(address->family)) {
    return std::nullopt;
  }
  const ClientPrefix prefix{address->family, address->bits, length};
  if ((prefix.first & HostMask(prefix.family, length)) != 0)
    return std::nullopt;
  return prefix;
}

}  // namespace toucanknot
