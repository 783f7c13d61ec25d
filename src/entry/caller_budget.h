#ifndef SRC_ENTRY_CALLER_BUDGET_H_
#define SRC_ENTRY_CALLER_BUDGET_H_

#include "include/base/clock.h"

namespace toucanknot {

// Recognizes callers that return after a refusal, by the time that they say is
// left. Callers of a route start with budgets around a common value, each with
// a budget of its own, so less time than the longest budget alone does not
// show a return. A return is assumed only below the range of first budgets:
// from the longest one seen to as far below the median. When many callers
// return at once the median drops and the range grows, so that returns are
// missed rather than first attempts mistaken for returns. Does no I/O. Not
// thread-safe.
class CallerBudget {
 public:
  // Estimates how long a caller with the budget `left` has already spent in
  // earlier attempts; zero for a first attempt.
  Duration TimeSpent(Duration left);

 private:
  void AddSample(double budget_ms);

  double longest_ms_ = 0;
  // Moving median of the budgets of all requests; their mean at first.
  double median_ms_ = 0;
  int samples_ = 0;
};

}  // namespace toucanknot

#endif  // SRC_ENTRY_CALLER_BUDGET_H_
