#include "include/placing/return_time.h"

namespace toucanknot {
namespace {

// Above this fraction of slots in use, another attempt is as likely to be
// rejected again as to be accepted.
constexpr double kShort = 0.7;
constexpr Duration kAtOnce{40};
// About the service time of a request.
constexpr Duration kWhenShort{300};

}  // namespace

Duration RetryAfterRejection(double filled) {
  return filled < kShort ? kAtOnce : kWhenShort;
}

}  // namespace toucanknot
