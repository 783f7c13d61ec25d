#ifndef SRC_LOAD_LOAD_RESULTS_H_
#define SRC_LOAD_LOAD_RESULTS_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "include/base/clock.h"

namespace toucanknot {

// How one piece of run-once work ended, as its caller was told.
struct WorkEnd {
  std::string work_id;
  // "ran", "not-run", "unknown", or empty when the caller was told nothing.
  std::string verdict;
};

// What callers saw in a load run. Thread-safe while it is filled.
class LoadResults {
 public:
  // An idempotent piece of work or a run-once one that ran got its answer.
  void AddAnswer(double took_ms);
  void AddRefused();
  void AddFailed();
  void AddWrong();
  void AddCut();
  void AddRepeat();
  void AddSkipped();
  void AddEnd(WorkEnd end);
  void AddRequest();

  uint64_t requests() const;
  uint64_t wrong_answers() const;
  uint64_t cut_answers() const;

  // The figures as JSON. `runs_of` asks the stand-ins how often a piece of
  // work was run: what is lost or falsely refused is counted there, not by
  // the hosts.
  boost::json::object Summary(
      const std::function<int(const std::string& work_id)>& runs_of) const;

 private:
  mutable std::mutex mutex_;
  uint64_t requests_ = 0;
  uint64_t answered_ = 0;
  uint64_t refused_ = 0;
  uint64_t failed_ = 0;
  uint64_t wrong_ = 0;
  uint64_t cut_ = 0;
  uint64_t repeats_ = 0;
  uint64_t skipped_ = 0;
  std::vector<double> took_ms_;
  std::vector<WorkEnd> ends_;
};

}  // namespace toucanknot

#endif  // SRC_LOAD_LOAD_RESULTS_H_
