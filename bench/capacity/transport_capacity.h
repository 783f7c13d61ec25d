#ifndef BENCH_CAPACITY_TRANSPORT_CAPACITY_H_
#define BENCH_CAPACITY_TRANSPORT_CAPACITY_H_

namespace toucanknot::bench {

// Measures processor time and memory of the inner connections over loopback:
// several hosts' transports in one process, as many messages as a zone of the
// design size exchanges.
void PrintTransportCapacity();

}  // namespace toucanknot::bench

#endif  // BENCH_CAPACITY_TRANSPORT_CAPACITY_H_
