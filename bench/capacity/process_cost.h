#ifndef BENCH_CAPACITY_PROCESS_COST_H_
#define BENCH_CAPACITY_PROCESS_COST_H_

namespace toucanknot::bench {

// Processor time that this process has taken, in seconds.
double CpuSeconds();

// Bytes that this process holds from the allocator.
double HeapBytes();

}  // namespace toucanknot::bench

#endif  // BENCH_CAPACITY_PROCESS_COST_H_
