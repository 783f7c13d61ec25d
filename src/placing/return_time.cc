#include "include/placing/return_time.h"

namespace toucanknot {
namespace {

// Above this part of the slots in use, an attempt is as likely to be turned
// away again as to be taken.
constexpr double kShort = 0.7;
constexpr Duration kAtOnce{40};
// About the time of a request.
constexpr Duration kWhenShort{300};

}  // namespace

Duration RetryAfterRejection(double filled) {
  return filled < kShort ? kAtOnce : kWhenShort;
}

}  // namespace toucanknot
