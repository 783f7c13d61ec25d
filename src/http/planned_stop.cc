#include "src/http/planned_stop.h"

#include <algorithm>

namespace toucanknot {
namespace {

// A request whose deadline the process doesn't reach is passed on only if its
// expected time fits this many times into what is left.
constexpr int64_t kRepeatableFits = 2;
constexpr int64_t kOnceFits = 3;

}  // namespace

void PlannedStop::Begin(Instant notice_until, Instant end) {
  notice_until_ms_ = notice_until.ms();
  answer_by_ms_ = (end - kAnswerMargin).ms();
}

Instant PlannedStop::LatestSend(const Work& work) const {
  const Instant answer_by = this->answer_by();
  if (work.deadline <= answer_by)
    return Instant::Never();
  const int64_t fits = work.repeatable ? kRepeatableFits : kOnceFits;
  return std::min(Instant(notice_until_ms_), answer_by - work.expected * fits);
}

}  // namespace toucanknot
