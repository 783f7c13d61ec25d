#ifndef BENCH_CAPACITY_FLEET_CAPACITY_H_
#define BENCH_CAPACITY_FLEET_CAPACITY_H_

namespace toucanknot::bench {

// Measurements of membership and of the dissemination of the configuration: the
// agents of many hosts run in one process, connected by an event queue with
// delay and loss.

// Prints bytes, messages, processor time and memory of a host, by the size of
// its zone and by the number of zones.
void PrintHostCost();
// Prints the time until a change is in force at all hosts, with and without
// faults.
void PrintTimeInForce();
// Prints the rate of calls to the store, by hosts and by zones.
void PrintStoreCalls();
// Prints the cost of a host and the time until a change is in force, at the
// design size.
void PrintDesignSize();

}  // namespace toucanknot::bench

#endif  // BENCH_CAPACITY_FLEET_CAPACITY_H_
