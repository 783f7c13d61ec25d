#ifndef BENCH_CAPACITY_CLIENTS_CAPACITY_H_
#define BENCH_CAPACITY_CLIENTS_CAPACITY_H_

namespace toucanknot::bench {

// Measures the client table: time to build and load, memory, time of a lookup,
// and the parts and bytes of a change.
void PrintClientsCapacity();

}  // namespace toucanknot::bench

#endif  // BENCH_CAPACITY_CLIENTS_CAPACITY_H_
