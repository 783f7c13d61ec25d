#include "include/config/text_parts.h"

#include <xxhash.h>

#include <utility>

#include "include/base/digest.h"

namespace toucanknot {
namespace {

// On average one line in this many ends a part.
constexpr uint64_t kLinesPerPart = 256;

// The offset after the end of the part that begins at `start`.
size_t EndOfPart(std::string_view text, size_t start) {
  size_t at = start;
  while (at < text.size()) {
    const size_t newline = text.find('\n', at);
    const size_t end =
        newline == std::string_view::npos ? text.size() : newline + 1;
    const uint64_t hash = XXH3_64bits(text.data() + at, end - at);
    const size_t size = end - start;
    if (size >= TextParts::kMinBytes && hash % kLinesPerPart == 0)
      return end;
    if (size > TextParts::kMaxBytes)
      return at == start ? end : at;
    at = end;
  }
  return text.size();
}

}  // namespace

TextParts::TextParts(std::string text) : text_(std::move(text)) {
  for (size_t start = 0; start < text_.size();) {
    const size_t end = EndOfPart(text_, start);
    digests_.push_back(DigestOf({text_.data() + start, end - start}));
    pieces_[digests_.back()] = {start, end - start};
    start = end;
  }
}

std::optional<std::string_view> TextParts::Find(
    const std::string& digest) const {
  const auto it = pieces_.find(digest);
  if (it == pieces_.end())
    return std::nullopt;
  const Piece& piece = it->second;
  return std::string_view{text_.data() + piece.offset, piece.size};
}

std::vector<std::string> TextParts::Missing(
    const std::vector<std::string>& digests) const {
  std::vector<std::string> missing;
  for (const std::string& it : digests) {
    if (pieces_.count(it) == 0)
      missing.push_back(it);
  }
  return missing;
}

std::string JoinParts(const std::vector<std::string>& digests,
                      const TextParts& known,
                      const FetchPartFn& fetch) {
  std::unordered_map<std::string, std::string> fetched;
  std::string text;
  for (const std::string& it : digests) {
    if (const auto part = known.Find(it)) {
      text += *part;
      continue;
    }
    auto at = fetched.find(it);
    if (at == fetched.end())
      at = fetched.emplace(it, fetch(it)).first;
    text += at->second;
  }
  return text;
}

}  // namespace toucanknot
