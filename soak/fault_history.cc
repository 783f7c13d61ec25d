#include "soak/fault_history.h"

#include <utility>

namespace toucanknot::soak {

void FaultHistory::End(const std::string& subject, Instant now) {
  Subject& it = faults_[subject];
  --it.running;
  it.ended_at = now;
}

bool FaultHistory::FaultFreeSince(const std::string& subject,
                                  Instant from) const {
  const auto it = faults_.find(subject);
  if (it == faults_.end())
    return true;
  const Subject& found = it->second;
  return found.running == 0 &&
         (found.ended_at == Instant() || found.ended_at + kSettleTime <= from);
}

ScopedFault::ScopedFault(FaultHistory& history,
                         std::vector<std::string> subjects)
    : history_(history), subjects_(std::move(subjects)) {
  for (const std::string& it : subjects_)
    history_.Begin(it);
}

ScopedFault::~ScopedFault() {
  for (const std::string& it : subjects_)
    history_.End(it, SteadyNow());
}

}  // namespace toucanknot::soak
