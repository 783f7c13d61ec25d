#include "include/base/utc_time.h"

#include <fmt/format.h>

#include <charconv>
#include <chrono>

namespace toucanknot {
namespace {

constexpr int64_t kMillisPerDay = 86'400'000;

// Parses `digits` digits followed by `separator` and removes them from the
// front of `text`.
bool ReadDigits(std::string_view& text,
                size_t digits,
                char separator,
                int& out) {
  if (text.size() <= digits || text[digits] != separator)
    return false;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + digits, out);
  if (ec != std::errc() || end != text.data() + digits || out < 0)
    return false;
  text.remove_prefix(digits + 1);
  return true;
}

}  // namespace

std::string FormatUtc(int64_t unix_ms) {
  int64_t days = unix_ms / kMillisPerDay;
  int64_t rest = unix_ms % kMillisPerDay;
  if (rest < 0) {
    rest += kMillisPerDay;
    --days;
  }
  const std::chrono::year_month_day date{
      std::chrono::sys_days(std::chrono::days(days))};
  std::string text = fmt::format(
      "{:04}-{:02}-{:02}T{:02}:{:02}:{:02}", static_cast<int>(date.year()),
      static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
      rest / 3'600'000, rest / 60'000 % 60, rest / 1000 % 60);
  if (rest % 1000 != 0)
    text += fmt::format(".{:03}", rest % 1000);
  return text + "Z";
}

std::optional<int64_t> ParseUtc(std::string_view text) {
  int year = 0;
  int month = 0;
  int day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  int millis = 0;
  if (!ReadDigits(text, 4, '-', year) || !ReadDigits(text, 2, '-', month) ||
      !ReadDigits(text, 2, 'T', day) || !ReadDigits(text, 2, ':', hour) ||
      !ReadDigits(text, 2, ':', minute))
    return std::nullopt;
  if (!ReadDigits(text, 2, 'Z', second) &&
      !(ReadDigits(text, 2, '.', second) && ReadDigits(text, 3, 'Z', millis)))
    return std::nullopt;
  const std::chrono::year_month_day date{std::chrono::year(year),
                                         std::chrono::month(month),
                                         std::chrono::day(day)};
  if (!text.empty() || !date.ok() || hour > 23 || minute > 59 || second > 59)
    return std::nullopt;
  const std::chrono::sys_days midnight{date};
  const int64_t days = midnight.time_since_epoch().count();
  return days * kMillisPerDay +
         ((hour * int64_t{60} + minute) * 60 + second) * 1000 + millis;
}

}  // namespace toucanknot
