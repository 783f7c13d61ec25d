#ifndef INCLUDE_BASE_ENDPOINT_H_
#define INCLUDE_BASE_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanknot {

// A TCP endpoint: an IP address and a port.
struct Endpoint {
  std::string ip;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;

  // "127.0.0.1:80" or "[::1]:80".
  std::string ToString() const;
  // Parses the format of ToString(). Returns nullopt when `text` is not an IP
  // address and a port from 1 to 65535.
  static std::optional<Endpoint> Parse(std::string_view text);
};

}  // namespace toucanknot

#endif  // INCLUDE_BASE_ENDPOINT_H_
