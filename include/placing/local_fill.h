#ifndef INCLUDE_PLACING_LOCAL_FILL_H_
#define INCLUDE_PLACING_LOCAL_FILL_H_

namespace toucanknot {

// The fraction of the slots of a zone or region that its own callers may fill
// before their requests go elsewhere, from 0 to 1: the fill at which the wait
// for a slot nearby takes as long as `extra_rtt_ms`, the longer way to the
// others, for requests that run `service_ms` (positive). It does not depend on
// the load, since each change of it moves objects to servers that must fetch
// them.
double MaxLocalFill(double extra_rtt_ms, double service_ms);

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_LOCAL_FILL_H_
