#ifndef SRC_LOAD_LOAD_RUN_H_
#define SRC_LOAD_LOAD_RUN_H_

#include <memory>

#include "src/load/load_options.h"
#include "src/load/load_results.h"

namespace toucanknot {

// Callers that look up which entry host to use, keep the answer for as long as
// it allows, send idempotent and run-once work at a steady rate, repeat what
// failed as docs/ONCE.md tells callers to, and check that every answer is
// their own and whole.
class LoadRun {
 public:
  // Throws Error when an address is not loopback or a rate is out of range.
  explicit LoadRun(const LoadOptions& options);
  ~LoadRun();
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  void Start();
  // Waits until all work has ended.
  void Wait();
  const LoadResults& results() const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace toucanknot

#endif  // SRC_LOAD_LOAD_RUN_H_
