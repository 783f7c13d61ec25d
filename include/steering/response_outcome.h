#ifndef INCLUDE_STEERING_RESPONSE_OUTCOME_H_
#define INCLUDE_STEERING_RESPONSE_OUTCOME_H_

#include "include/health/server_health.h"
#include "include/steering/dispatcher.h"

namespace toucanknot {

// Whether an attempt with this end counts for or against the health of its
// backend server.
ResponseOutcome OutcomeOf(AttemptEnd end);

}  // namespace toucanknot

#endif  // INCLUDE_STEERING_RESPONSE_OUTCOME_H_
