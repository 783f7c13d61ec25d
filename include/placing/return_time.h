#ifndef INCLUDE_PLACING_RETURN_TIME_H_
#define INCLUDE_PLACING_RETURN_TIME_H_

#include "include/base/clock.h"

namespace toucanknot {

// When a caller should come back whose request backend servers turned away.
// `filled` is the part of the service's slots in use.
//
// While slots are free, servers turn requests away for reasons that another
// attempt does not meet again (a part of them sheds, or has just filled up):
// the caller returns at once and can still be answered within its target. While
// slots are short it returns when some are free again.
Duration RetryAfterRejection(double filled);

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_RETURN_TIME_H_
