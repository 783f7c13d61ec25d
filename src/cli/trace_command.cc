#include "src/cli/trace_command.h"

#include <boost/json.hpp>
#include <cstdint>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <string>
#include <utility>

#include "include/config/json_text.h"
#include "include/trace/cause_table.h"
#include "include/trace/log_timeline.h"

namespace toucanknot {
namespace {

// Enough for a day's log files of a hundred hosts.
constexpr size_t kMaxFiles = 10'000;

// Windows of the table of causes, in seconds, unless given.
constexpr uint64_t kWindowSeconds = 2;
constexpr uint64_t kMaxWindowSeconds = 86'400;

// Calls `read` for the files whose names begin at `first` of the arguments, or
// for standard input if there are none. Throws UsageError if one cannot be
// read.
void ReadFiles(const std::vector<std::string>& words,
               size_t first,
               const std::function<void(std::istream&)>& read) {
  if (words.size() <= first)
    read(std::cin);
  for (size_t i = first; i < words.size(); ++i) {
    std::ifstream in(words[i]);
    if (!in)
      throw UsageError("cannot read " + words[i]);
    read(in);
  }
}

void PrintUnreadable(const CliContext& context, size_t n) {
  if (n > 0)
    context.err() << n << " lines are malformed or truncated; skipped\n";
}

boost::json::value CausesJson(const CauseTable& table) {
  boost::json::array causes;
  for (const CauseTable::Cause& it : table.Causes()) {
    causes.push_back({{"cause", it.name},
                      {"requests", it.total},
                      {"first_id", it.first_id},
                      {"by_window", boost::json::value_from(it.by_window)}});
  }
  return boost::json::object{{"first_window_unix_ms", table.first_window_ms()},
                             {"window_ms", table.window().ms()},
                             {"causes", std::move(causes)}};
}

void PrintCauses(const CauseTable& table, std::ostream& out) {
  for (const CauseTable::Cause& it : table.Causes()) {
    out << std::setw(7) << it.total << "  " << it.name << "  (first "
        << it.first_id << ")\n";
    for (size_t i = 0; i < it.by_window.size(); ++i) {
      if (it.by_window[i] == 0)
        continue;
      const Duration since_first = table.window() * static_cast<int64_t>(i);
      out << std::setw(15) << it.by_window[i] << "  from +"
          << since_first.seconds() << " s\n";
    }
  }
}

boost::json::value TimelineJson(const LogTimeline& timeline,
                                const std::string& name) {
  boost::json::array lines;
  for (const LogLine* it : timeline.LinesFor(name))
    lines.push_back(LogLineJson(*it));
  boost::json::array conclusions;
  for (const std::string& it : timeline.Conclusions(name))
    conclusions.emplace_back(it);
  return boost::json::object{{"id", name},
                             {"unreadable", timeline.unreadable()},
                             {"lines", std::move(lines)},
                             {"conclusions", std::move(conclusions)}};
}

}  // namespace

std::vector<CliCommand> TraceCommand::All() {
  return {{"trace",
           "ID [FILE ...]",
           "show the timeline of a request or backend server from hosts' "
           "logs; reads standard input if no files are given",
           {},
           1,
           kMaxFiles,
           Trace},
          {"causes",
           "[FILE ...]",
           "count the requests of hosts' logs that had no success, by cause "
           "and time; reads standard input if no files are given",
           {{"seconds", "N", "length of the windows in time, 2 by default"}},
           0,
           kMaxFiles,
           Causes}};
}

ExitCode TraceCommand::Trace(const CliContext& context) {
  const std::vector<std::string>& words = context.args.positional();
  const std::string& name = words.front();
  LogTimeline timeline;
  ReadFiles(words, 1, [&](std::istream& in) { timeline.Read(in); });
  PrintUnreadable(context, timeline.unreadable());
  const std::vector<const LogLine*> lines = timeline.LinesFor(name);
  if (context.settings.json) {
    context.out() << WriteJson(TimelineJson(timeline, name));
    return lines.empty() ? ExitCode::kFailure : ExitCode::kOk;
  }
  if (lines.empty()) {
    context.out() << "none of " << timeline.lines() << " lines mentions "
                  << name
                  << ": its line was omitted by the log rate limit, its host "
                     "crashed before writing it, or it reached none of the "
                     "hosts of these logs\n";
    return ExitCode::kFailure;
  }
  for (const LogLine* it : lines)
    context.out() << FormatLogLine(*it, lines.front()->unix_ms) << "\n";
  for (const std::string& it : timeline.Conclusions(name))
    context.out() << it << "\n";
  return ExitCode::kOk;
}

ExitCode TraceCommand::Causes(const CliContext& context) {
  const uint64_t seconds =
      context.args.NumberValue("seconds").value_or(kWindowSeconds);
  if (seconds == 0 || seconds > kMaxWindowSeconds) {
    throw UsageError("--seconds must be from 1 to " +
                     std::to_string(kMaxWindowSeconds));
  }
  CauseTable table(Duration(static_cast<int64_t>(seconds) * 1'000));
  size_t unreadable = 0;
  ReadFiles(context.args.positional(), 0, [&](std::istream& in) {
    unreadable +=
        ReadLogLines(in, [&](const LogLine& line) { table.Add(line); });
  });
  PrintUnreadable(context, unreadable);
  if (context.settings.json)
    context.out() << WriteJson(CausesJson(table));
  else
    PrintCauses(table, context.out());
  return ExitCode::kOk;
}

}  // namespace toucanknot
