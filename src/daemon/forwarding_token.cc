#include "src/daemon/forwarding_token.h"

#include <boost/algorithm/hex.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <iterator>
#include <vector>

#include "include/base/digest.h"
#include "src/http/headers.h"

namespace toucanknot {
namespace {

// kind;hop;host;incarnation;run;attempt;key id;MAC
constexpr size_t kNumParts = 8;
constexpr char kSeparator = ';';

std::string TokenText(const ForwardingToken& token) {
  return std::string(kForwardingKindNames.Name(token.kind)) + kSeparator +
         std::string(kHopNames.Name(token.hop)) + kSeparator +
         token.sender.host.str() + kSeparator +
         std::to_string(token.sender.incarnation) + kSeparator +
         std::to_string(token.attempt.run) + kSeparator +
         std::to_string(token.attempt.number);
}

std::string SignedText(const std::string& token,
                       const HostId& receiver,
                       const HttpRequest& request) {
  return token + '\n' + receiver.str() + '\n' + request.method + '\n' +
         request.target + '\n' +
         std::string(request.fields.Get(kTicketHeader)) + '\n' +
         DigestOf(request.body);
}

template <typename T>
bool ParseNumber(const std::string& text, T& out) {
  return boost::conversion::try_lexical_convert(text, out);
}

std::optional<ForwardingToken> ParseToken(
    const std::vector<std::string>& parts) {
  ForwardingToken token;
  const auto kind = kForwardingKindNames.Parse(parts[0]);
  const auto hop = kHopNames.Parse(parts[1]);
  if (!kind || !hop || !ParseNumber(parts[3], token.sender.incarnation) ||
      !ParseNumber(parts[4], token.attempt.run) ||
      !ParseNumber(parts[5], token.attempt.number)) {
    return std::nullopt;
  }
  token.kind = *kind;
  token.hop = *hop;
  token.sender.host = HostId(parts[2]);
  return token;
}

}  // namespace

void SignForwardingToken(const ForwardingToken& token,
                         const HostId& receiver,
                         const FleetKeys& keys,
                         HttpRequest& request) {
  std::string text = TokenText(token);
  const Mac mac = keys.Sign(SignedText(text, receiver, request));
  text += kSeparator + std::to_string(keys.active_id()) + kSeparator;
  boost::algorithm::hex_lower(mac.begin(), mac.end(), std::back_inserter(text));
  request.fields.Set(kForwardingHeader, std::move(text));
}

std::optional<ForwardingToken> VerifyForwardingToken(const HttpRequest& request,
                                                     const HostId& receiver,
                                                     const FleetKeys& keys,
                                                     bool* forged) {
  *forged = false;
  if (!request.fields.Has(kForwardingHeader))
    return std::nullopt;
  *forged = true;
  std::vector<std::string> parts;
  const std::string value(request.fields.Get(kForwardingHeader));
  boost::algorithm::split(parts, value, [](char c) { return c == kSeparator; });
  unsigned key = 0;
  std::string mac;
  if (parts.size() != kNumParts || !ParseNumber(parts[6], key) || key > 255)
    return std::nullopt;
  try {
    boost::algorithm::unhex(parts[7], std::back_inserter(mac));
  } catch (const boost::algorithm::hex_decode_error&) {
    return std::nullopt;
  }
  auto token = ParseToken(parts);
  if (!token)
    return std::nullopt;
  const std::string text = SignedText(TokenText(*token), receiver, request);
  if (!keys.Verify(static_cast<uint8_t>(key), text, mac))
    return std::nullopt;
  *forged = false;
  return token;
}

}  // namespace toucanknot
