#ifndef INCLUDE_BASE_UTC_TIME_H_
#define INCLUDE_BASE_UTC_TIME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanknot {

// Formats Unix milliseconds as "2026-12-31T18:00:00Z", or with a fraction, such
// as "2026-12-31T18:00:00.250Z", when they are not whole seconds.
std::string FormatUtc(int64_t unix_ms);

// Parses the format of FormatUtc(). Returns nullopt when `text` is invalid.
std::optional<int64_t> ParseUtc(std::string_view text);

}  // namespace toucanknot

#endif  // INCLUDE_BASE_UTC_TIME_H_
