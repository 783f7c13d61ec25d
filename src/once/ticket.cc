#include "include/once/ticket.h"

#include <algorithm>
#include <charconv>

namespace toucanknot {
namespace {

constexpr char kSeparator = '~';
constexpr std::string_view kPrefix = "tk1";
constexpr size_t kParts = 8;
constexpr size_t kMaxHostName = 100;
constexpr int kHex = 16;
constexpr std::string_view kHexDigits = "0123456789abcdef";

using Parts = std::array<std::string_view, kParts>;

std::optional<Parts> Split(std::string_view text) {
  Parts parts;
  for (size_t i = 0; i + 1 < kParts; ++i) {
    const size_t end = text.find(kSeparator);
    if (end == std::string_view::npos)
      return std::nullopt;
    parts[i] = text.substr(0, end);
    text.remove_prefix(end + 1);
  }
  parts[kParts - 1] = text;
  return parts;
}

// Parses hex as AppendHex() writes it: lower case, without leading zeros.
std::optional<uint64_t> ParseHex(std::string_view text) {
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, err] = std::from_chars(text.data(), end, value, kHex);
  const bool canonical =
      text == "0" || (!text.empty() && text.front() != '0' &&
                      text.find_first_of("ABCDEF") == std::string_view::npos);
  if (err != std::errc() || rest != end || !canonical)
    return std::nullopt;
  return value;
}

std::optional<TicketMac> ParseMac(std::string_view text) {
  TicketMac mac{};
  if (text.size() != 2 * mac.size())
    return std::nullopt;
  for (size_t i = 0; i < mac.size(); ++i) {
    const size_t high = kHexDigits.find(text[2 * i]);
    const size_t low = kHexDigits.find(text[2 * i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos)
      return std::nullopt;
    mac[i] = static_cast<uint8_t>(high * kHex + low);
  }
  return mac;
}

std::optional<HostIncarnation> ParseIncarnation(std::string_view host,
                                                std::string_view hex) {
  const auto incarnation = ParseHex(hex);
  if (!Ticket::IsHostName(host) || !incarnation)
    return std::nullopt;
  return HostIncarnation{HostId(std::string(host)), *incarnation};
}

void AppendHex(std::string& out, uint64_t value) {
  std::array<char, 16> buf;
  const auto end =
      std::to_chars(buf.data(), buf.data() + buf.size(), value, kHex).ptr;
  out += kSeparator;
  out.append(buf.data(), end);
}

std::string_view Unquoted(std::string_view text) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
    return text.substr(1, text.size() - 2);
  return text;
}

}  // namespace

std::string Ticket::SignedText() const {
  std::string out;
  out.reserve(kMaxText);
  out += kPrefix;
  out += kSeparator;
  out += owner.host.str();
  AppendHex(out, owner.incarnation);
  AppendHex(out, sequence);
  AppendHex(out, static_cast<uint64_t>(expires.ms()));
  out += kSeparator;
  if (!witness) {
    out += kSeparator;
    return out;
  }
  out += witness->host.str();
  AppendHex(out, witness->incarnation);
  return out;
}

std::string Ticket::ToString() const {
  std::string out = SignedText();
  out += kSeparator;
  for (const uint8_t it : mac) {
    out += kHexDigits[it / kHex];
    out += kHexDigits[it % kHex];
  }
  return out;
}

std::optional<Ticket> Ticket::Parse(std::string_view text) {
  if (text.size() > kMaxText)
    return std::nullopt;
  const auto parts = Split(Unquoted(text));
  if (!parts || parts->at(0) != kPrefix)
    return std::nullopt;
  const auto owner = ParseIncarnation(parts->at(1), parts->at(2));
  const auto sequence = ParseHex(parts->at(3));
  const auto expires = ParseHex(parts->at(4));
  const auto mac = ParseMac(parts->at(7));
  if (!owner || !sequence || !expires || !mac)
    return std::nullopt;
  Ticket ticket{*owner, *sequence, Duration(static_cast<int64_t>(*expires)),
                std::nullopt, *mac};
  if (parts->at(5).empty() && parts->at(6).empty())
    return ticket;
  ticket.witness = ParseIncarnation(parts->at(5), parts->at(6));
  if (!ticket.witness)
    return std::nullopt;
  return ticket;
}

bool Ticket::IsHostName(std::string_view host) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
  };
  return !host.empty() && host.size() <= kMaxHostName &&
         std::all_of(host.begin(), host.end(), allowed);
}

}  // namespace toucanknot
