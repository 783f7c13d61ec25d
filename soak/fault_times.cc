#include "soak/fault_times.h"

#include <utility>

namespace toucanknot::soak {

void FaultTimes::End(const std::string& subject, Instant now) {
  Subject& it = faults_[subject];
  --it.running;
  it.ended_at = now;
}

bool FaultTimes::CalmSince(const std::string& subject, Instant from) const {
  const auto it = faults_.find(subject);
  if (it == faults_.end())
    return true;
  const Subject& found = it->second;
  return found.running == 0 &&
         (found.ended_at == Instant() || found.ended_at + kSettle <= from);
}

FaultSpan::FaultSpan(FaultTimes& times, std::vector<std::string> subjects)
    : times_(times), subjects_(std::move(subjects)) {
  for (const std::string& it : subjects_)
    times_.Begin(it);
}

FaultSpan::~FaultSpan() {
  for (const std::string& it : subjects_)
    times_.End(it, SteadyNow());
}

}  // namespace toucanknot::soak
