#include "include/trace/log_timeline.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <utility>

namespace toucanknot {
namespace {

constexpr std::string_view kServerEvent = "server";
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
    if (it->event != kServerEvent || it->Text("server") != server)
      continue;
    const int64_t offset_ms = it->unix_ms - request.unix_ms;
    out.push_back(
        fmt::format("{} learned {} ms {}: {}.", it->host, std::abs(offset_ms),
                    offset_ms <= 0 ? "before" : "after", it->Text("change")));
  }
}

// Adds the conclusions from one line of a request.
void AddConclusions(const LogLine& line,
                    const std::vector<const LogLine*>& related,
                    std::vector<std::string>& out) {
  out.push_back(
      fmt::format("{} answered {} after {} ms; it {}.", line.host,
                  line.Integer("status"), line.Integer("took_ms"),
                  line.Bool("may_have_run") ? "may have run" : "did not run"));
  for (const LoggedAttempt& it : AttemptsOf(line)) {
    out.push_back(fmt::format("{} {}.", it.server, Describe(it.end)));
    AddServerChanges(it.server, line, related, out);
  }
  if (const auto refusal = kPlacementRefusalNames.Parse(RefusalOf(line)))
    out.push_back(Describe(*refusal) + ".");
  if (line.Bool("caller_left"))
    out.push_back("The caller left before the response.");
}

}  // namespace

void LogTimeline::Read(std::istream& in) {
  unreadable_ += ReadLogLines(
      in, [this](LogLine line) { lines_.push_back(std::move(line)); });
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
    if (it.event != kRequestEvent || it.Text("id") != name)
      continue;
    if (hosts.empty())
      begin = it.unix_ms - it.Integer("took_ms") - kBefore.ms();
    end = it.unix_ms + kAfter.ms();
    hosts.insert(it.host);
    for (const LoggedAttempt& attempt : AttemptsOf(it))
      servers.insert(attempt.server);
  }
  std::vector<const LogLine*> out;
  for (const LogLine& it : lines_) {
    const bool in_window = it.unix_ms >= begin && it.unix_ms <= end;
    bool relevant = false;
    if (it.event == kRequestEvent) {
      relevant = it.Text("id") == name ||
                 it.Text("story").find(" " + std::string(name) + ":") !=
                     std::string::npos;
    } else if (it.event == kServerEvent) {
      const std::string server = it.Text("server");
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
    if (it->event == kRequestEvent && it->Text("id") == id)
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
