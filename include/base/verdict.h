#ifndef INCLUDE_BASE_VERDICT_H_
#define INCLUDE_BASE_VERDICT_H_

#include <string_view>

#include "include/base/enum_names.h"

namespace toucanknot {

// Whether a request was executed by a backend server. Every response to a
// request states a verdict.
enum class Verdict {
  // A backend server executed it; the response is the backend server's own.
  kRan,
  // It was not executed and, under this ticket, never will be.
  kNotRun,
  // It may have been executed. The caller must find out before it sends the
  // request under another ticket.
  kUnknown,
};

inline constexpr EnumNames<Verdict, 3> kVerdictNames{
    {"ran", "not-run", "unknown"}};

inline std::string_view VerdictName(Verdict verdict) {
  return kVerdictNames.Name(verdict);
}

}  // namespace toucanknot

#endif  // INCLUDE_BASE_VERDICT_H_
