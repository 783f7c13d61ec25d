#include "src/entry/request_fields.h"

#include <xxhash.h>

#include <charconv>
#include <system_error>

namespace toucanknot {

std::optional<int64_t> ParseInteger(std::string_view text) {
  int64_t n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return n;
}

uint64_t HashText(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t FingerprintOf(const HttpRequest& request) {
  uint64_t hash = HashText(request.method, 0);
  hash = HashText(request.fields.Get("Host"), hash);
  hash = HashText(request.target, hash);
  return HashText(request.body, hash);
}

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

void ParseLoad(std::string_view text, PlacedAttemptResult& out) {
  const size_t first = text.find(',');
  const size_t second = text.find(',', first + 1);
  if (first == std::string_view::npos || second == std::string_view::npos)
    return;
  const auto running = ParseInteger(text.substr(0, first));
  const auto waiting = ParseInteger(text.substr(first + 1, second - first - 1));
  if (!running || !waiting)
    return;
  out.reported = true;
  out.running = static_cast<int>(*running);
  out.waiting = static_cast<int>(*waiting);
}

}  // namespace toucanknot
