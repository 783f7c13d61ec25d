#include "include/base/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace toucanknot {

std::string Endpoint::ToString() const {
  const bool v6 = ip.find(':') != std::string::npos;
  return (v6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

std::optional<Endpoint> Endpoint::Parse(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::string_view ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
    ip = ip.substr(1, ip.size() - 2);
  else if (ip.find(':') != std::string_view::npos)
    return std::nullopt;
  boost::system::error_code ec;
  boost::asio::ip::make_address(std::string(ip), ec);
  if (ec)
    return std::nullopt;
  const std::string_view digits = text.substr(colon + 1);
  const char* end = digits.data() + digits.size();
  uint16_t port = 0;
  const auto [rest, err] = std::from_chars(digits.data(), end, port);
  if (err != std::errc() || rest != end || port == 0)
    return std::nullopt;
  return Endpoint{std::string(ip), port};
}

}  // namespace toucanknot
