#ifndef INCLUDE_TRACE_LOG_TIMELINE_H_
#define INCLUDE_TRACE_LOG_TIMELINE_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/clock.h"

namespace toucanknot {

// One line that an entry host has logged.
struct LogLine {
  int64_t unix_ms = 0;
  std::string host;
  std::string event;
  // The other members.
  boost::json::object fields;
};

// The log lines of several hosts, from which the story of one request or of
// one backend server is told. Does no I/O but reading streams.
class LogTimeline {
 public:
  // What happened to a server or a host this long before a request may explain
  // how it ended: three heartbeats, after which a silent server is gone.
  static constexpr Duration kBefore{4'500};
  // And this long after it: what broke a connection is learned later.
  static constexpr Duration kAfter{4'500};

  // Adds the lines of a stream. What stands before the JSON object of a line is
  // passed over; lines that are cut or no log lines are counted.
  void Read(std::istream& in);
  size_t lines() const { return lines_.size(); }
  size_t unreadable() const { return unreadable_; }

  // The lines that concern `name`, a request's id or a server's, in order: its
  // own ones; for a request also those about the servers that it was sent to
  // and about its hosts, from kBefore until kAfter.
  std::vector<const LogLine*> Of(std::string_view name) const;

  // What the lines of a request say of its end and cause, in a sentence for
  // each line; empty for what is no request.
  std::vector<std::string> Conclusions(std::string_view id) const;

 private:
  std::vector<LogLine> lines_;
  size_t unreadable_ = 0;
};

// A line as people read it: time since `begin_unix_ms`, host, event, fields.
std::string FormatLogLine(const LogLine& line, int64_t begin_unix_ms);

// A line as it was logged.
boost::json::object LogLineJson(const LogLine& line);

}  // namespace toucanknot

#endif  // INCLUDE_TRACE_LOG_TIMELINE_H_
