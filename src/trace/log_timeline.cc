#include "include/trace/log_timeline.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <sstream>
#include <utility>

#include "include/base/enum_names.h"
#include "include/placing/placer.h"

namespace toucanknot {
namespace {

constexpr std::string_view kRequestEvent = "request";
constexpr std::string_view kServerEvent = "server";
// Every log line starts with this field.
constexpr std::string_view kFirstField = "{\"unix_ms\"";

std::string TextField(const LogLine& line, std::string_view key) {
  const boost::json::value* value = line.fields.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

int64_t IntegerField(const LogLine& line, std::string_view key) {
  const boost::json::value* value = line.fields.if_contains(key);
  boost::system::error_code ec;
  // A field that is missing or not a number counts as 0; the line itself is
  // shown next to the conclusions.
  return value == nullptr ? 0 : value->to_number<int64_t>(ec);
}

bool BoolField(const LogLine& line, std::string_view key) {
  const boost::json::value* value = line.fields.if_contains(key);
  return value != nullptr && value->is_bool() && value->get_bool();
}

// One attempt from a request line, "SERVER:END:17ms".
struct Attempt {
  std::string server;
  ServerAttemptEnd end = ServerAttemptEnd::kAnswered;
};

std::vector<Attempt> AttemptsOf(const LogLine& line) {
  std::vector<Attempt> attempts;
  std::istringstream tokens(TextField(line, "story"));
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

// The reason why the host refused the request; empty if it did not.
std::string RefusalOf(const LogLine& line) {
  const std::string summary = TextField(line, "story");
  for (const std::string_view it : kPlacementRefusalNames.names) {
    if (summary.find("refused:" + std::string(it) + " ") != std::string::npos)
      return std::string(it);
  }
  return {};
}

std::string Describe(PlacementRefusal refusal) {
  return refusal == PlacementRefusal::kNoServer
             ? "no backend server of the service took requests"
             : "no backend server could have responded in time";
}

std::string Describe(ServerAttemptEnd end) {
  switch (end) {
    case ServerAttemptEnd::kAnswered:
      return "answered";
    case ServerAttemptEnd::kFailed:
      return "responded with an error of its own";
    case ServerAttemptEnd::kRefused:
      return "did not run it";
    case ServerAttemptEnd::kMisdirected:
      return "was another server at that address";
    case ServerAttemptEnd::kNotConnected:
      return "could not be reached";
    case ServerAttemptEnd::kBroken:
      return "broke the connection or sent an invalid response";
    case ServerAttemptEnd::kTimedOut:
      return "did not respond within the route's timeout";
    case ServerAttemptEnd::kCancelled:
      return "was cancelled because the caller left";
  }
  return "?";
}

// Adds what the hosts learned about a server around the end of a request.
void AddServerChanges(const std::string& server,
                      const LogLine& request,
                      const std::vector<const LogLine*>& related,
                      std::vector<std::string>& out) {
  for (const LogLine* it : related) {
    if (it->event != kServerEvent || TextField(*it, "server") != server)
      continue;
    const int64_t offset_ms = it->unix_ms - request.unix_ms;
    out.push_back(fmt::format(
        "{} learned {} ms {}: {}.", it->host, std::abs(offset_ms),
        offset_ms <= 0 ? "before" : "after", TextField(*it, "change")));
  }
}

// Adds the conclusions from one line of a request.
void AddConclusions(const LogLine& line,
                    const std::vector<const LogLine*>& related,
                    std::vector<std::string>& out) {
  out.push_back(fmt::format(
      "{} answered {} after {} ms; it {}.", line.host,
      IntegerField(line, "status"), IntegerField(line, "took_ms"),
      BoolField(line, "may_have_run") ? "may have run" : "did not run"));
  for (const Attempt& it : AttemptsOf(line)) {
    out.push_back(fmt::format("{} {}.", it.server, Describe(it.end)));
    AddServerChanges(it.server, line, related, out);
  }
  if (const auto refusal = kPlacementRefusalNames.Parse(RefusalOf(line)))
    out.push_back(Describe(*refusal) + ".");
  if (BoolField(line, "caller_left"))
    out.push_back("The caller left before the response.");
}

}  // namespace

void LogTimeline::Read(std::istream& in) {
  for (std::string text; std::getline(in, text);) {
    const size_t begin = text.find(kFirstField);
    if (begin == std::string::npos) {
      unreadable_ += text.empty() ? 0 : 1;
      continue;
    }
    boost::system::error_code ec;
    boost::json::value value =
        boost::json::parse(std::string_view(text).substr(begin), ec);
    if (ec || !value.is_object()) {
      ++unreadable_;
      continue;
    }
    LogLine line;
    line.fields = std::move(value.get_object());
    line.unix_ms = IntegerField(line, "unix_ms");
    line.host = TextField(line, "host");
    line.event = TextField(line, "event");
    for (const char* it : {"unix_ms", "host", "event"})
      line.fields.erase(it);
    lines_.push_back(std::move(line));
  }
  std::stable_sort(
      lines_.begin(), lines_.end(),
      [](const LogLine& a, const LogLine& b) { return a.unix_ms < b.unix_ms; });
}

std::vector<const LogLine*> LogTimeline::LinesFor(std::string_view name) const {
  std::set<std::string> servers;
  std::set<std::string> hosts;
  int64_t begin = 0;
  int64_t end = 0;
  for (const LogLine& it : lines_) {
    if (it.event != kRequestEvent || TextField(it, "id") != name)
      continue;
    if (hosts.empty())
      begin = it.unix_ms - IntegerField(it, "took_ms") - kBefore.ms();
    end = it.unix_ms + kAfter.ms();
    hosts.insert(it.host);
    for (const Attempt& attempt : AttemptsOf(it))
      servers.insert(attempt.server);
  }
  std::vector<const LogLine*> out;
  for (const LogLine& it : lines_) {
    const bool in_window = it.unix_ms >= begin && it.unix_ms <= end;
    bool relevant = false;
    if (it.event == kRequestEvent) {
      relevant = TextField(it, "id") == name ||
                 TextField(it, "story").find(" " + std::string(name) + ":") !=
                     std::string::npos;
    } else if (it.event == kServerEvent) {
      const std::string server = TextField(it, "server");
      relevant = server == name || (in_window && servers.contains(server));
    } else {
      relevant = in_window && hosts.contains(it.host);
    }
    if (relevant)
      out.push_back(&it);
  }
  return out;
}

std::vector<std::string> LogTimeline::Conclusions(std::string_view id) const {
  std::vector<std::string> out;
  const std::vector<const LogLine*> related = LinesFor(id);
  for (const LogLine* it : related) {
    if (it->event == kRequestEvent && TextField(*it, "id") == id)
      AddConclusions(*it, related, out);
  }
  return out;
}

std::string FormatLogLine(const LogLine& line, int64_t begin_unix_ms) {
  std::string out = fmt::format(
      "{:+8d} ms  {}  {}", line.unix_ms - begin_unix_ms, line.host, line.event);
  for (const auto& it : line.fields) {
    out += fmt::format("  {}=", std::string_view(it.key()));
    out += it.value().is_string() ? std::string(it.value().get_string())
                                  : boost::json::serialize(it.value());
  }
  return out;
}

boost::json::object LogLineJson(const LogLine& line) {
  boost::json::object out{
      {"unix_ms", line.unix_ms}, {"host", line.host}, {"event", line.event}};
  for (const auto& it : line.fields)
    out[it.key()] = it.value();
  return out;
}

}  // namespace toucanknot
