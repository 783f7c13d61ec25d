#ifndef SRC_STANDIN_WORK_LEDGER_H_
#define SRC_STANDIN_WORK_LEDGER_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace toucanknot {

// Counts how often each piece of work was run, over all stand-ins of backend
// servers. Thread-safe.
class WorkLedger {
 public:
  // Enters a run; returns how many there have been of this work.
  int Enter(const std::string& work_id);
  int RunsOf(const std::string& work_id) const;
  // Pieces of work that were run more than once.
  int64_t Doubled() const;
  int64_t Distinct() const;

 private:
  mutable std::mutex mutex_;
  std::unordered_map<std::string, int> runs_;
  int64_t doubled_ = 0;
};

}  // namespace toucanknot

#endif  // SRC_STANDIN_WORK_LEDGER_H_
