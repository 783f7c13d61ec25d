#include "include/routing/config_version.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace toucanknot {

ConfigVersion::ConfigVersion(uint64_t n)
    : digits_(n == 0 ? std::string() : std::to_string(n)) {}

std::optional<ConfigVersion> ConfigVersion::Parse(std::string_view text) {
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  if (text.empty() || !std::all_of(text.begin(), text.end(), is_digit))
    return std::nullopt;
  text.remove_prefix(std::min(text.find_first_not_of('0'), text.size()));
  ConfigVersion version;
  version.digits_ = std::string(text);
  return version;
}

std::optional<uint64_t> ConfigVersion::ToUint64() const {
  uint64_t n = 0;
  const char* const end = digits_.data() + digits_.size();
  const auto [rest, ec] = std::from_chars(digits_.data(), end, n);
  if (!digits_.empty() && ec != std::errc())
    return std::nullopt;
  return n;
}

double ConfigVersion::ToDouble() const {
  double n = 0;
  const char* const end = digits_.data() + digits_.size();
  const auto [rest, ec] = std::from_chars(digits_.data(), end, n);
  return ec == std::errc::result_out_of_range
             ? std::numeric_limits<double>::infinity()
             : n;
}

std::strong_ordering ConfigVersion::operator<=>(
    const ConfigVersion& other) const {
  if (const auto order = digits_.size() <=> other.digits_.size(); order != 0)
    return order;
  return digits_ <=> other.digits_;
}

std::ostream& operator<<(std::ostream& out, const ConfigVersion& version) {
  return out << version.ToString();
}

}  // namespace toucanknot
