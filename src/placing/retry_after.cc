#include "include/placing/retry_after.h"

namespace toucanknot {
namespace {

// Above this fraction of slots in use, another attempt is as likely to be
// rejected again as to be accepted.
constexpr double kScarce = 0.7;
constexpr Duration kImmediately{40};
// About the service time of a request.
constexpr Duration kWhenScarce{300};

}  // namespace

Duration RetryAfterRejection(double utilization) {
  return utilization < kScarce ? kImmediately : kWhenScarce;
}

}  // namespace toucanknot
