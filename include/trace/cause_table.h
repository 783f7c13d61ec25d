#ifndef INCLUDE_TRACE_CAUSE_TABLE_H_
#define INCLUDE_TRACE_CAUSE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/trace/log_line.h"

namespace toucanknot {

// Counts the requests that hosts did not answer with success, by cause and by
// the time at which the host answered, to show what an outage or an overload
// cost and where to look first. Successes are not counted, since hosts log only
// some of them.
class CauseTable {
 public:
  struct Cause {
    std::string name;
    int total = 0;
    // The id of the earliest request, for `toucanknot trace`.
    std::string first_id;
    // Requests by window, from first_window_ms().
    std::vector<int> by_window;
  };

  // `window` is the length of one window; more than 0.
  explicit CauseTable(Duration window) : window_(window) {}

  // Adds the line if it is that of a request without success.
  void Add(const LogLine& line);

  // The causes, the most frequent first.
  std::vector<Cause> Causes() const;
  // The Unix time at which the first window begins, in ms; 0 if it is empty.
  int64_t first_window_ms() const;
  Duration window() const { return window_; }

 private:
  struct Counts {
    int total = 0;
    int64_t first_unix_ms = 0;
    std::string first_id;
    // By the number of the window since the Unix epoch.
    std::map<int64_t, int> windows;
  };

  Duration window_;
  std::map<std::string, Counts> counts_;
};

// The cause in a few words, such as "refused: too-late" or "failed, timed-out".
std::string CauseOf(const LogLine& request);

}  // namespace toucanknot

#endif  // INCLUDE_TRACE_CAUSE_TABLE_H_
