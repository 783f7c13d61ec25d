#include "include/steering/answer_outcome.h"

namespace toucanknot {

AnswerOutcome OutcomeOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return AnswerOutcome::kSuccess;
    case AttemptEnd::kShed:
    case AttemptEnd::kCancelled:
      return AnswerOutcome::kNeutral;
    default:
      return AnswerOutcome::kFailure;
  }
}

}  // namespace toucanknot
