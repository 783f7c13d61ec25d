#ifndef INCLUDE_TRACE_LOG_LINE_H_
#define INCLUDE_TRACE_LOG_LINE_H_

#include <boost/json/object.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include "include/placing/placer.h"

namespace toucanknot {

// The event of the line that a host logs when a request ends.
inline constexpr std::string_view kRequestEvent = "request";

// One log line of an entry host.
struct LogLine {
  int64_t unix_ms = 0;
  std::string host;
  std::string event;
  // The remaining fields.
  boost::json::object fields;

  // The value of a field; empty, 0 or false when it is missing or of another
  // type.
  std::string Text(std::string_view key) const;
  int64_t Integer(std::string_view key) const;
  bool Bool(std::string_view key) const;
};

// One attempt of a request at a backend server.
struct LoggedAttempt {
  std::string server;
  ServerAttemptEnd end = ServerAttemptEnd::kAnswered;
};

// The attempts of a request line, in order.
std::vector<LoggedAttempt> AttemptsOf(const LogLine& line);

// The reason why the host refused the request; empty if it did not.
std::string RefusalOf(const LogLine& line);

// Calls `on_line` for each log line of the stream and returns the number of
// lines that are truncated or no log lines. Text before the JSON object of a
// line is skipped.
size_t ReadLogLines(std::istream& in,
                    const std::function<void(LogLine)>& on_line);

}  // namespace toucanknot

#endif  // INCLUDE_TRACE_LOG_LINE_H_
