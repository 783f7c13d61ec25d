#ifndef BENCH_CAPACITY_PROCESS_COST_H_
#define BENCH_CAPACITY_PROCESS_COST_H_

namespace toucanknot::bench {

// Processor time used by this process so far, in seconds.
double CpuSeconds();

// Bytes that this process has allocated on the heap.
double HeapBytes();

}  // namespace toucanknot::bench

#endif  // BENCH_CAPACITY_PROCESS_COST_H_
