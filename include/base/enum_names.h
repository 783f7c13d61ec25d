#ifndef INCLUDE_BASE_ENUM_NAMES_H_
#define INCLUDE_BASE_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace toucanknot {

// The names of an enum class whose values are consecutive from 0. The names are
// used in logs, JSON and HTTP headers.
template <typename E, size_t N>
struct EnumNames {
  std::array<std::string_view, N> names;

  // The name of `value`, or "?" when it is out of range.
  constexpr std::string_view Name(E value) const {
    const auto i = static_cast<size_t>(value);
    return i < N ? names[i] : std::string_view("?");
  }

  // The value called `name`, or nullopt when there is none.
  constexpr std::optional<E> Parse(std::string_view name) const {
    for (size_t i = 0; i < N; ++i) {
      if (names[i] == name)
        return static_cast<E>(i);
    }
    return std::nullopt;
  }
};

}  // namespace toucanknot

#endif  // INCLUDE_BASE_ENUM_NAMES_H_
