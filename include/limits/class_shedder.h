#ifndef INCLUDE_LIMITS_CLASS_SHEDDER_H_
#define INCLUDE_LIMITS_CLASS_SHEDDER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "include/base/clock.h"

namespace toucanknot {

// Refuses work classes in the configured order while capacity is short. A level
// rises while requests are rejected for lack of capacity, and falls slowly
// otherwise. Classes below the level are refused, the class at the level in
// part, those above it not at all.
class ClassShedder {
 public:
  // `refusal_order` lists the classes, the first to be refused first. A class
  // that is not listed counts as the first.
  explicit ClassShedder(std::vector<std::string> refusal_order);

  // Whether a request of this class is admitted now.
  bool Admit(const std::string& work_class, Instant now);
  // Reports that a request that Admit() permitted found no capacity.
  void OnShort(const std::string& work_class, Instant now);

  // The number of classes that are refused entirely; the fraction is the
  // refused share of the next class.
  double level() const { return level_; }

 private:
  // How often the level changes, and by how much.
  static constexpr Duration kPeriod{100};
  static constexpr double kRise = 0.1;
  static constexpr double kFall = 0.02;

  size_t RankOf(const std::string& work_class) const;
  void AdvancePeriod(Instant now);

  std::vector<std::string> order_;
  // Per class: accumulated refusal share; a request is refused when it reaches
  // 1.
  std::vector<double> refusal_credit_;
  double level_ = 0;
  // The highest class that found no capacity in this period; -1 if none.
  int short_rank_ = -1;
  Instant period_start_;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_CLASS_SHEDDER_H_
