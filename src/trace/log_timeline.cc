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

constexpr std::string_view kRequest = "request";
constexpr std::string_view kServer = "server";
// Every log line begins with this member.
constexpr std::string_view kFirstMember = "{\"unix_ms\"";

std::string Text(const LogLine& line, std::string_view key) {
  const boost::json::value* value = line.fields.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

int64_t Whole(const LogLine& line, std::string_view key) {
  const boost::json::value* value = line.fields.if_contains(key);
  boost::system::error_code ec;
  // A member that is missing or no number counts as 0: the line is shown as it
  // is beside what is concluded from it.
  return value == nullptr ? 0 : value->to_number<int64_t>(ec);
}

bool Flag(const LogLine& line, std::string_view key) {
  const boost::json::value* value = line.fields.if_contains(key);
  return value != nullptr && value->is_bool() && value->get_bool();
}

// One attempt as a request's line tells it, "SERVER:END:17ms".
struct Attempt {
  std::string server;
  ServerAttemptEnd end = ServerAttemptEnd::kAnswered;
};

std::vector<Attempt> AttemptsOf(const LogLine& line) {
  std::vector<Attempt> attempts;
  std::istringstream words(Text(line, "story"));
  for (std::string word; words >> word;) {
    const size_t first = word.find(':');
    const size_t second = word.find(':', first + 1);
    if (first == std::string::npos || second == std::string::npos)
      continue;
    const auto end = kServerAttemptEndNames.Parse(
        word.substr(first + 1, second - first - 1));
    if (end)
      attempts.push_back({word.substr(0, first), *end});
  }
  return attempts;
}

// Why the host refused it, by its story; empty when it did not.
std::string RefusalOf(const LogLine& line) {
  const std::string story = Text(line, "story");
  for (const std::string_view it : kPlacementRefusalNames.names) {
    if (story.find("refused:" + std::string(it) + " ") != std::string::npos)
      return std::string(it);
  }
  return {};
}

std::string Sentence(PlacementRefusal refusal) {
  return refusal == PlacementRefusal::kNoServer
             ? "no backend server of the service took requests"
             : "no backend server could have answered in time";
}

std::string Sentence(ServerAttemptEnd end) {
  switch (end) {
    case ServerAttemptEnd::kAnswered:
      return "answered";
    case ServerAttemptEnd::kFailed:
      return "answered with a failure of its own";
    case ServerAttemptEnd::kRefused:
      return "did not run it";
    case ServerAttemptEnd::kMisdirected:
      return "was another server at that address";
    case ServerAttemptEnd::kNotConnected:
      return "could not be reached";
    case ServerAttemptEnd::kBroken:
      return "broke the connection, or sent what is no answer";
    case ServerAttemptEnd::kTimedOut:
      return "did not answer in the route's time";
    case ServerAttemptEnd::kCancelled:
      return "was cancelled, since the caller had left";
  }
  return "?";
}

// What the hosts learned of a server around the end of a request.
void AddNewsOf(const std::string& server,
               const LogLine& request,
               const std::vector<const LogLine*>& related,
               std::vector<std::string>& out) {
  for (const LogLine* it : related) {
    if (it->event != kServer || Text(*it, "server") != server)
      continue;
    const int64_t later = it->unix_ms - request.unix_ms;
    out.push_back(fmt::format("{} learned {} ms {}: {}.", it->host,
                              std::abs(later), later <= 0 ? "before" : "after",
                              Text(*it, "change")));
  }
}

// What one line of a request says of its end.
void Conclude(const LogLine& line,
              const std::vector<const LogLine*>& related,
              std::vector<std::string>& out) {
  out.push_back(
      fmt::format("{} answered {} after {} ms; it {}.", line.host,
                  Whole(line, "status"), Whole(line, "took_ms"),
                  Flag(line, "may_have_run") ? "may have run" : "did not run"));
  for (const Attempt& it : AttemptsOf(line)) {
    out.push_back(fmt::format("{} {}.", it.server, Sentence(it.end)));
    AddNewsOf(it.server, line, related, out);
  }
  if (const auto refusal = kPlacementRefusalNames.Parse(RefusalOf(line)))
    out.push_back(Sentence(*refusal) + ".");
  if (Flag(line, "caller_left"))
    out.push_back("The caller left before the answer.");
}

}  // namespace

void LogTimeline::Read(std::istream& in) {
  for (std::string text; std::getline(in, text);) {
    const size_t begin = text.find(kFirstMember);
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
    line.unix_ms = Whole(line, "unix_ms");
    line.host = Text(line, "host");
    line.event = Text(line, "event");
    for (const char* it : {"unix_ms", "host", "event"})
      line.fields.erase(it);
    lines_.push_back(std::move(line));
  }
  std::stable_sort(
      lines_.begin(), lines_.end(),
      [](const LogLine& a, const LogLine& b) { return a.unix_ms < b.unix_ms; });
}

std::vector<const LogLine*> LogTimeline::Of(std::string_view name) const {
  std::set<std::string> servers;
  std::set<std::string> hosts;
  int64_t begin = 0;
  int64_t end = 0;
  for (const LogLine& it : lines_) {
    if (it.event != kRequest || Text(it, "id") != name)
      continue;
    if (hosts.empty())
      begin = it.unix_ms - Whole(it, "took_ms") - kBefore.ms();
    end = it.unix_ms + kAfter.ms();
    hosts.insert(it.host);
    for (const Attempt& attempt : AttemptsOf(it))
      servers.insert(attempt.server);
  }
  std::vector<const LogLine*> out;
  for (const LogLine& it : lines_) {
    const bool near = it.unix_ms >= begin && it.unix_ms <= end;
    bool concerns = false;
    if (it.event == kRequest) {
      concerns = Text(it, "id") == name ||
                 Text(it, "story").find(" " + std::string(name) + ":") !=
                     std::string::npos;
    } else if (it.event == kServer) {
      const std::string server = Text(it, "server");
      concerns = server == name || (near && servers.contains(server));
    } else {
      concerns = near && hosts.contains(it.host);
    }
    if (concerns)
      out.push_back(&it);
  }
  return out;
}

std::vector<std::string> LogTimeline::Conclusions(std::string_view id) const {
  std::vector<std::string> out;
  const std::vector<const LogLine*> related = Of(id);
  for (const LogLine* it : related) {
    if (it->event == kRequest && Text(*it, "id") == id)
      Conclude(*it, related, out);
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
