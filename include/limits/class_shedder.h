#ifndef INCLUDE_LIMITS_CLASS_SHEDDER_H_
#define INCLUDE_LIMITS_CLASS_SHEDDER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "include/base/clock.h"

namespace toucanknot {

// Refuses classes of work in the operators' order while capacity is short. A
// level moves up while work is turned away for want of capacity and slowly
// down again when none is; classes below the level are refused, the class at
// the level in part, those above not at all.
class ClassShedder {
 public:
  // `refusal_order` names the classes, the first to be refused first. A class
  // that it does not name counts as the first.
  explicit ClassShedder(std::vector<std::string> refusal_order);

  // Whether a request of this class may try to get capacity now.
  bool Admit(const std::string& work_class, Instant now);
  // A request that Admit() let through found no capacity.
  void OnShort(const std::string& work_class, Instant now);

  // The number of classes refused in whole, and the share of the next one as
  // its fraction.
  double level() const { return level_; }

 private:
  // How often the level moves, and by how much.
  static constexpr Duration kPeriod{100};
  static constexpr double kRise = 0.1;
  static constexpr double kFall = 0.02;

  size_t RankOf(const std::string& work_class) const;
  void Roll(Instant now);

  std::vector<std::string> order_;
  // Per class: the refusals owed by the share in force.
  std::vector<double> owed_;
  double level_ = 0;
  // The highest class found short in this period; -1 when none was.
  int short_rank_ = -1;
  Instant period_start_;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_CLASS_SHEDDER_H_
