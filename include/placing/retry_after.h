#ifndef INCLUDE_PLACING_RETRY_AFTER_H_
#define INCLUDE_PLACING_RETRY_AFTER_H_

#include "include/base/clock.h"

namespace toucanknot {

// When a caller should retry a request that backend servers rejected.
// `utilization` is the fraction of the service's slots in use.
//
// While slots are free, a rejection has a cause that another attempt is
// unlikely to meet again (a server that sheds load or has just filled up):
// the caller should retry at once and can still get a response within its
// target. While slots are scarce it should retry when some have become free.
Duration RetryAfterRejection(double utilization);

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_RETRY_AFTER_H_
