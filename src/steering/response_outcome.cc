#include "include/steering/response_outcome.h"

namespace toucanknot {

ResponseOutcome OutcomeOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return ResponseOutcome::kSuccess;
    case AttemptEnd::kShed:
    case AttemptEnd::kCancelled:
      return ResponseOutcome::kNeutral;
    default:
      return ResponseOutcome::kFailure;
  }
}

}  // namespace toucanknot
