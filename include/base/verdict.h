#ifndef INCLUDE_BASE_VERDICT_H_
#define INCLUDE_BASE_VERDICT_H_

#include <string_view>

#include "include/base/enum_names.h"

namespace toucanknot {

// Says whether a request may have run at a backend server. Every path that
// ends a request states one.
enum class Verdict {
  // A backend server ran it; the answer is the backend server's own.
  kRan,
  // It did not run and, under this ticket, never will.
  kNotRun,
  // It may have run. The caller must find out before it starts another.
  kUnknown,
};

inline constexpr EnumNames<Verdict, 3> kVerdictNames{
    {"ran", "not-run", "unknown"}};

inline std::string_view VerdictName(Verdict verdict) {
  return kVerdictNames.Name(verdict);
}

}  // namespace toucanknot

#endif  // INCLUDE_BASE_VERDICT_H_
