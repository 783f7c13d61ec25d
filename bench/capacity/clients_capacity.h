#ifndef BENCH_CAPACITY_CLIENTS_CAPACITY_H_
#define BENCH_CAPACITY_CLIENTS_CAPACITY_H_

namespace toucanknot::bench {

// Measures the table of clients: build, memory, look-up, bytes of a change.
void PrintClientsCapacity();

}  // namespace toucanknot::bench

#endif  // BENCH_CAPACITY_CLIENTS_CAPACITY_H_
