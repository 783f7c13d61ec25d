#include "include/limits/class_shedder.h"

#include <algorithm>
#include <utility>

namespace toucanknot {

ClassShedder::ClassShedder(std::vector<std::string> refusal_order)
    : order_(std::move(refusal_order)),
      refusal_credit_(std::max<size_t>(order_.size(), 1), 0) {}

bool ClassShedder::Admit(const std::string& work_class, Instant now) {
  AdvancePeriod(now);
  const size_t rank = RankOf(work_class);
  const double share = std::clamp(level_ - static_cast<double>(rank), 0.0, 1.0);
  if (share <= 0)
    return true;
  refusal_credit_[rank] += share;
  if (refusal_credit_[rank] < 1)
    return true;
  refusal_credit_[rank] -= 1;
  return false;
}

void ClassShedder::OnShort(const std::string& work_class, Instant now) {
  AdvancePeriod(now);
  short_rank_ = std::max(short_rank_, static_cast<int>(RankOf(work_class)));
}

size_t ClassShedder::RankOf(const std::string& work_class) const {
  const auto it = std::find(order_.begin(), order_.end(), work_class);
  return it == order_.end() ? 0 : static_cast<size_t>(it - order_.begin());
}

void ClassShedder::AdvancePeriod(Instant now) {
  const int64_t periods = (now - period_start_).ms() / kPeriod.ms();
  if (periods <= 0)
    return;
  // The level never rises above the highest class that found no capacity: room
  // for it is made by refusing the classes below. So the last class is never
  // shed, and is refused only when capacity is actually missing.
  if (short_rank_ >= 0)
    level_ = std::max(
        level_, std::min(level_ + kRise, static_cast<double>(short_rank_)));
  const int64_t quiet = short_rank_ >= 0 ? periods - 1 : periods;
  level_ = std::max(level_ - kFall * static_cast<double>(quiet), 0.0);
  short_rank_ = -1;
  period_start_ = period_start_ + kPeriod * periods;
}

}  // namespace toucanknot
