#ifndef BENCH_CAPACITY_FLEET_CAPACITY_H_
#define BENCH_CAPACITY_FLEET_CAPACITY_H_

namespace toucanknot::bench {

// Measures membership and the spread of configuration: many hosts' decision
// classes in one process over a queue with delay and loss.

// Bytes, messages, processor time and memory of a host, by the size of its
// zone, the number of zones, and the size of the fleet.
void PrintHostCost();
// Time until a change is in force, healthy and with faults.
void PrintTimeInForce();
// Calls to the store, by hosts and by zones.
void PrintStoreCalls();
// All of it at once at the design size.
void PrintDesignSize();

}  // namespace toucanknot::bench

#endif  // BENCH_CAPACITY_FLEET_CAPACITY_H_
