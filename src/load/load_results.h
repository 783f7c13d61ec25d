#ifndef SRC_LOAD_LOAD_RESULTS_H_
#define SRC_LOAD_LOAD_RESULTS_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "include/base/clock.h"

namespace toucanknot {

// The result of one run-once work item as reported to its caller.
struct RunOnceResult {
  std::string work_id;
  // "ran", "not-run", "unknown", or empty when the caller received no verdict.
  std::string verdict;
};

// The results of a load run as seen by the callers. Thread-safe.
class LoadResults {
 public:
  // A work item completed with its correct response.
  void AddSuccess(double took_ms);
  void AddRefused();
  void AddFailed();
  void AddWrong();
  void AddTruncated();
  // A request is repeated. `reason` is the host's reason or how the attempt
  // ended.
  void AddRepeat(const std::string& reason);
  void AddSkipped();
  void AddRunOnceResult(RunOnceResult end);
  void AddRequest();

  uint64_t requests() const;
  uint64_t wrong_responses() const;
  uint64_t truncated_responses() const;

  // Returns the results as JSON. `runs_of` returns how often the stand-in
  // servers ran a work item; if set, lost, doubled and falsely refused work is
  // counted independently of the hosts' reports.
  boost::json::object Summary(
      const std::function<int(const std::string& work_id)>& runs_of) const;

 private:
  mutable std::mutex mutex_;
  uint64_t requests_ = 0;
  uint64_t succeeded_ = 0;
  uint64_t refused_ = 0;
  uint64_t failed_ = 0;
  uint64_t wrong_ = 0;
  uint64_t truncated_ = 0;
  std::map<std::string, uint64_t> repeats_;
  uint64_t skipped_ = 0;
  std::vector<double> took_ms_;
  std::vector<RunOnceResult> run_once_results_;
};

}  // namespace toucanknot

#endif  // SRC_LOAD_LOAD_RESULTS_H_
