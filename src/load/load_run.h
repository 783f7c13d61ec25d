#ifndef SRC_LOAD_LOAD_RUN_H_
#define SRC_LOAD_LOAD_RUN_H_

#include <memory>

#include "src/load/load_options.h"
#include "src/load/load_results.h"

namespace toucanknot {

// Simulates callers: looks up entry hosts and caches the responses for their
// lifetime, sends idempotent and run-once work at a constant mean rate, repeats
// failed requests as callers are required to (docs/ONCE.md), and checks that
// every response is complete and belongs to its request.
class LoadRun {
 public:
  // Throws Error when an address is not loopback or a rate is out of range.
  explicit LoadRun(const LoadOptions& options);
  ~LoadRun();
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  void Start();
  // Blocks until all work items have ended.
  void Wait();
  const LoadResults& results() const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace toucanknot

#endif  // SRC_LOAD_LOAD_RUN_H_
