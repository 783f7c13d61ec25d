#include "src/forward/response_head.h"

#include <algorithm>
#include <cctype>

namespace toucanknot {
namespace {

constexpr std::string_view kSingleFields[] = {
    "Content-Length", "Content-Type", "Transfer-Encoding", "Retry-After"};

// What a status line has after its protocol's name, and the length of that up
// to the status.
constexpr std::string_view kProtocol = "HTTP";
constexpr std::string_view kVersion = "/1.";
constexpr size_t kStatusLineBytes = 8;
// What of that, with the name, can lie on one side of an end of a body.
constexpr size_t kMaxPart = kProtocol.size() + kStatusLineBytes - 1;

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;

bool IsDigit(char c) {
  return std::isdigit(static_cast<unsigned char>(c)) != 0;
}

// Position after the protocol name of the first status line in `text` from
// `begin` on, or npos.
size_t FindStatusLine(std::string_view text, size_t begin = 0) {
  for (size_t at = text.find(kVersion, begin); at != std::string_view::npos;
       at = text.find(kVersion, at + 1)) {
    const std::string_view line = text.substr(at, kStatusLineBytes);
    if (line.size() == kStatusLineBytes && IsDigit(line[3]) && line[4] == ' ' &&
        std::all_of(line.begin() + 5, line.end(), IsDigit)) {
      return at;
    }
  }
  return std::string_view::npos;
}

// Whether `text` contains a status line, except for the first letters of its
// protocol name, which the message before it may have taken.
bool ContainsStatusLine(std::string_view text) {
  return FindStatusLine(text) != std::string_view::npos;
}

// Whether a status line with its protocol name begins in the first `end` bytes
// of `text`.
bool StatusLineBegins(std::string_view text, size_t end) {
  for (size_t at = FindStatusLine(text); at != std::string_view::npos;
       at = FindStatusLine(text, at + 1)) {
    const std::string_view before = text.substr(0, at);
    if (before.ends_with(kProtocol) && at - kProtocol.size() < end)
      return true;
  }
  return false;
}

}  // namespace

std::string FindHeadProblem(std::string_view reason,
                            const boost::beast::http::fields& fields,
                            const std::vector<std::string>& single_fields) {
  if (ContainsStatusLine(reason))
    return "the reason phrase contains a status line";
  for (const auto& it : fields) {
    if (ContainsStatusLine(it.value()))
      return "the value of a field contains a status line";
  }
  const auto occurs_twice = [&](std::string_view name) {
    return !name.empty() && fields.count(name) > 1;
  };
  for (const std::string_view it : kSingleFields) {
    if (occurs_twice(it))
      return "the field " + std::string(it) + " occurs twice";
  }
  for (const std::string& it : single_fields) {
    if (occurs_twice(it))
      return "the field " + it + " occurs twice";
  }
  return {};
}

std::string FindStatusProblem(unsigned status) {
  if (status >= kMinStatus && status <= kMaxStatus &&
      status != kSwitchingProtocols) {
    return {};
  }
  return "the status " + std::to_string(status) + " answers no request";
}

std::string FindFramingProblem(unsigned version,
                               const boost::beast::http::fields& fields) {
  const auto coding = fields.find(boost::beast::http::field::transfer_encoding);
  if (coding == fields.end())
    return {};
  // HTTP/1.0 has no transfer codings.
  if (version < 11)
    return "a transfer coding in HTTP/1.0";
  if (!boost::beast::iequals(coding->value(), "chunked"))
    return "the transfer coding is not \"chunked\"";
  return {};
}

bool RunsIntoNextResponse(std::string_view body, std::string_view after) {
  const std::string_view last =
      body.substr(body.size() - std::min(body.size(), kMaxPart));
  std::string joint(last);
  joint += after.substr(0, kMaxPart);
  return StatusLineBegins(body, body.size()) ||
         StatusLineBegins(joint, last.size());
}

}  // namespace toucanknot
