#include "include/trace/log_line.h"

#include <boost/json.hpp>
#include <sstream>
#include <utility>

#include "include/base/enum_names.h"

namespace toucanknot {
namespace {

// Every log line starts with this field.
constexpr std::string_view kFirstField = "{\"unix_ms\"";

}  // namespace

std::string LogLine::Text(std::string_view key) const {
  const boost::json::value* value = fields.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

int64_t LogLine::Integer(std::string_view key) const {
  const boost::json::value* value = fields.if_contains(key);
  boost::system::error_code ec;
  return value == nullptr ? 0 : value->to_number<int64_t>(ec);
}

bool LogLine::Bool(std::string_view key) const {
  const boost::json::value* value = fields.if_contains(key);
  return value != nullptr && value->is_bool() && value->get_bool();
}

std::vector<LoggedAttempt> AttemptsOf(const LogLine& line) {
  std::vector<LoggedAttempt> attempts;
  std::istringstream tokens(line.Text("story"));
  // Each attempt is logged as "SERVER:END:17ms".
  for (std::string token; tokens >> token;) {
    const size_t first = token.find(':');
    const size_t second = token.find(':', first + 1);
    if (first == std::string::npos || second == std::string::npos)
      continue;
    const auto end = kServerAttemptEndNames.Parse(
        token.substr(first + 1, second - first - 1));
    if (end)
      attempts.push_back({token.substr(0, first), *end});
  }
  return attempts;
}

std::string RefusalOf(const LogLine& line) {
  const std::string summary = line.Text("story");
  for (const std::string_view it : kPlacementRefusalNames.names) {
    if (summary.find("refused:" + std::string(it) + " ") != std::string::npos)
      return std::string(it);
  }
  return {};
}

size_t ReadLogLines(std::istream& in,
                    const std::function<void(LogLine)>& on_line) {
  size_t unreadable = 0;
  for (std::string text; std::getline(in, text);) {
    const size_t begin = text.find(kFirstField);
    if (begin == std::string::npos) {
      unreadable += text.empty() ? 0 : 1;
      continue;
    }
    boost::system::error_code ec;
    boost::json::value value =
        boost::json::parse(std::string_view(text).substr(begin), ec);
    if (ec || !value.is_object()) {
      ++unreadable;
      continue;
    }
    LogLine line;
    line.fields = std::move(value.get_object());
    line.unix_ms = line.Integer("unix_ms");
    line.host = line.Text("host");
    line.event = line.Text("event");
    for (const char* it : {"unix_ms", "host", "event"})
      line.fields.erase(it);
    on_line(std::move(line));
  }
  return unreadable;
}

}  // namespace toucanknot
