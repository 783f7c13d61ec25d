#ifndef INCLUDE_STEERING_RESPONSE_OUTCOME_H_
#define INCLUDE_STEERING_RESPONSE_OUTCOME_H_

#include "include/health/server_health.h"
#include "include/steering/dispatcher.h"

namespace toucanknot {

// How an attempt that ended like this speaks for or against its backend server.
ResponseOutcome OutcomeOf(AttemptEnd end);

}  // namespace toucanknot

#endif  // INCLUDE_STEERING_RESPONSE_OUTCOME_H_
