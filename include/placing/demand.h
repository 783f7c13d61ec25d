#ifndef INCLUDE_PLACING_DEMAND_H_
#define INCLUDE_PLACING_DEMAND_H_

#include "include/base/clock.h"

namespace toucanknot {

// The work that one host's callers bring to a service, averaged over some
// seconds. Counted as the time that requests need where their objects are at
// hand, so that it does not grow while servers are slow. Does no I/O.
class Demand {
 public:
  // A request that needs `ms` of a slot's time.
  void Add(double ms, Instant now);
  // Slots that are needed on average.
  double Slots(Instant now) const;

 private:
  // Slot time in ms, faded by age.
  double work_ = 0;
  Instant at_;
  Instant since_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_DEMAND_H_
