#include "src/cli/trace_command.h"

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <utility>

#include "include/config/json_text.h"
#include "include/trace/log_timeline.h"

namespace toucanknot {
namespace {

// Enough for a day's log files of a hundred hosts.
constexpr size_t kMaxFiles = 10'000;

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
           Trace}};
}

ExitCode TraceCommand::Trace(const CliContext& context) {
  const std::vector<std::string>& words = context.args.positional();
  const std::string& name = words.front();
  LogTimeline timeline;
  if (words.size() == 1)
    timeline.Read(std::cin);
  for (size_t i = 1; i < words.size(); ++i) {
    std::ifstream in(words[i]);
    if (!in)
      throw UsageError("cannot read " + words[i]);
    timeline.Read(in);
  }
  if (timeline.unreadable() > 0) {
    context.err() << timeline.unreadable()
                  << " lines are malformed or truncated; skipped\n";
  }
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

}  // namespace toucanknot
