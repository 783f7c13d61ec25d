#include "include/trace/cause_table.h"

#include <algorithm>
#include <limits>

#include "include/base/enum_names.h"

namespace toucanknot {
namespace {

constexpr int64_t kFirstError = 300;
// Windows beyond this number, as from a line with an absurd time, are merged
// into the last one.
constexpr int64_t kMaxWindows = 10'000;

}  // namespace

std::string CauseOf(const LogLine& request) {
  if (request.Bool("caller_left"))
    return "the caller left";
  std::string out;
  for (const LoggedAttempt& it : AttemptsOf(request)) {
    out += out.empty() ? "" : ", ";
    out += kServerAttemptEndNames.Name(it.end);
  }
  if (const std::string refusal = RefusalOf(request); !refusal.empty())
    out += (out.empty() ? "refused: " : ", then refused: ") + refusal;
  if (out.empty())
    out = "status " + std::to_string(request.Integer("status"));
  return out;
}

void CauseTable::Add(const LogLine& line) {
  if (line.event != kRequestEvent || line.Integer("status") < kFirstError)
    return;
  Counts& counts = counts_[CauseOf(line)];
  if (counts.total == 0 || line.unix_ms < counts.first_unix_ms) {
    counts.first_unix_ms = line.unix_ms;
    counts.first_id = line.Text("id");
  }
  ++counts.total;
  ++counts.windows[line.unix_ms / window_.ms()];
}

int64_t CauseTable::first_window_ms() const {
  int64_t first = std::numeric_limits<int64_t>::max();
  for (const auto& [name, it] : counts_)
    first = std::min(first, it.windows.begin()->first);
  return counts_.empty() ? 0 : first * window_.ms();
}

std::vector<CauseTable::Cause> CauseTable::Causes() const {
  const int64_t first = first_window_ms() / window_.ms();
  std::vector<Cause> out;
  for (const auto& [name, counts] : counts_) {
    Cause cause{name, counts.total, counts.first_id, {}};
    for (const auto& [window, n] : counts.windows) {
      const auto i =
          static_cast<size_t>(std::min(window - first, kMaxWindows - 1));
      cause.by_window.resize(std::max(cause.by_window.size(), i + 1));
      cause.by_window[i] += n;
    }
    out.push_back(std::move(cause));
  }
  std::stable_sort(out.begin(), out.end(), [](const Cause& a, const Cause& b) {
    return a.total > b.total;
  });
  return out;
}

}  // namespace toucanknot
