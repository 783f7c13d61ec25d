#include "src/standin/work_ledger.h"

namespace toucanknot {

int WorkLedger::RecordRun(const std::string& work_id) {
  const std::lock_guard lock(mutex_);
  const int n = ++runs_[work_id];
  if (n == 2)
    ++doubled_;
  return n;
}

int WorkLedger::RunsOf(const std::string& work_id) const {
  const std::lock_guard lock(mutex_);
  const auto it = runs_.find(work_id);
  return it == runs_.end() ? 0 : it->second;
}

int64_t WorkLedger::CountDoubled() const {
  const std::lock_guard lock(mutex_);
  return doubled_;
}

int64_t WorkLedger::CountDistinct() const {
  const std::lock_guard lock(mutex_);
  return static_cast<int64_t>(runs_.size());
}

}  // namespace toucanknot
