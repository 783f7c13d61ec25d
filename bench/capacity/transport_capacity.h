#ifndef BENCH_CAPACITY_TRANSPORT_CAPACITY_H_
#define BENCH_CAPACITY_TRANSPORT_CAPACITY_H_

namespace toucanknot::bench {

// Measures processor time and memory of the connections between hosts: the
// transports of several hosts run in one process over loopback and exchange as
// many messages as the hosts of a zone of the design size.
void PrintTransportCapacity();

}  // namespace toucanknot::bench

#endif  // BENCH_CAPACITY_TRANSPORT_CAPACITY_H_
