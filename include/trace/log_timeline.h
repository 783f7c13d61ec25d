#ifndef INCLUDE_TRACE_LOG_TIMELINE_H_
#define INCLUDE_TRACE_LOG_TIMELINE_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/clock.h"
#include "include/trace/log_line.h"

namespace toucanknot {

// Merges the log lines of several hosts and extracts the timeline of one
// request or one backend server. Does no I/O except reading streams.
class LogTimeline {
 public:
  // Events of a server or a host this long before a request may explain how it
  // ended: three heartbeats, after which a silent server is considered gone.
  static constexpr Duration kBefore{4'500};
  // The same after a request, since the cause of a broken connection is learned
  // later.
  static constexpr Duration kAfter{4'500};

  // Adds the lines of a stream; those that are truncated or no log lines are
  // counted in unreadable().
  void Read(std::istream& in);
  size_t lines() const { return lines_.size(); }
  size_t unreadable() const { return unreadable_; }

  // The lines about `name`, the id of a request or of a server, in order. For a
  // request, this includes lines about the servers that it was sent to and
  // about its hosts, from kBefore until kAfter.
  std::vector<const LogLine*> LinesFor(std::string_view name) const;

  // Sentences about how and why a request ended; empty if `id` is not a
  // request.
  std::vector<std::string> Conclusions(std::string_view id) const;

 private:
  std::vector<LogLine> lines_;
  size_t unreadable_ = 0;
};

// Formats a line for reading: time since `begin_unix_ms`, host, event, fields.
std::string FormatLogLine(const LogLine& line, int64_t begin_unix_ms);

// The line as it was logged.
boost::json::object LogLineJson(const LogLine& line);

}  // namespace toucanknot

#endif  // INCLUDE_TRACE_LOG_TIMELINE_H_
