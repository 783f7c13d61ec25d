#ifndef SRC_STANDIN_WORK_LEDGER_H_
#define SRC_STANDIN_WORK_LEDGER_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace toucanknot {

// Counts the runs of each work item on all stand-in backend servers.
// Thread-safe.
class WorkLedger {
 public:
  // Records a run; returns the number of runs of this work item so far.
  int RecordRun(const std::string& work_id);
  int RunsOf(const std::string& work_id) const;
  // The number of work items that were run more than once.
  int64_t CountDoubled() const;
  // The number of distinct work items that were run.
  int64_t CountDistinct() const;

 private:
  mutable std::mutex mutex_;
  std::unordered_map<std::string, int> runs_;
  int64_t doubled_ = 0;
};

}  // namespace toucanknot

#endif  // SRC_STANDIN_WORK_LEDGER_H_
