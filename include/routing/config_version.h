#ifndef INCLUDE_ROUTING_CONFIG_VERSION_H_
#define INCLUDE_ROUTING_CONFIG_VERSION_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace toucanknot {

// The number of a configuration version: a whole number of any size, since
// operators choose it.
class ConfigVersion {
 public:
  // 0.
  ConfigVersion() = default;
  // Implicit, so that versions are compared with and made from numbers.
  // NOLINTNEXTLINE(google-explicit-constructor)
  ConfigVersion(uint64_t n);

  // Parses decimal digits; empty if `text` is anything else.
  static std::optional<ConfigVersion> Parse(std::string_view text);

  // In decimal notation.
  std::string ToString() const { return digits_.empty() ? "0" : digits_; }
  // The number if it has at most 64 bits.
  std::optional<uint64_t> ToUint64() const;
  // The nearest double; infinity for a larger number.
  double ToDouble() const;

  bool operator==(const ConfigVersion&) const = default;
  std::strong_ordering operator<=>(const ConfigVersion& other) const;

 private:
  // Without leading zeros; empty for 0.
  std::string digits_;
};

std::ostream& operator<<(std::ostream& out, const ConfigVersion& version);

}  // namespace toucanknot

#endif  // INCLUDE_ROUTING_CONFIG_VERSION_H_
