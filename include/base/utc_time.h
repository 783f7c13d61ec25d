#ifndef INCLUDE_BASE_UTC_TIME_H_
#define INCLUDE_BASE_UTC_TIME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanknot {

// Unix milliseconds as "2026-12-31T18:00:00Z"; with ".250" before the Z when
// they are not whole seconds.
std::string FormatUtc(int64_t unix_ms);

// Reads what FormatUtc() writes; nothing when `text` is no such time.
std::optional<int64_t> ParseUtc(std::string_view text);

}  // namespace toucanknot

#endif  // INCLUDE_BASE_UTC_TIME_H_
