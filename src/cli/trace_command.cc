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

// A host's log files of a day, at a hundred hosts.
constexpr size_t kMostFiles = 10'000;

boost::json::value StoryJson(const LogTimeline& story,
                             const std::string& name) {
  boost::json::array lines;
  for (const LogLine* it : story.LinesFor(name))
    lines.push_back(LogLineJson(*it));
  boost::json::array conclusions;
  for (const std::string& it : story.Conclusions(name))
    conclusions.emplace_back(it);
  return boost::json::object{{"id", name},
                             {"unreadable", story.unreadable()},
                             {"lines", std::move(lines)},
                             {"conclusions", std::move(conclusions)}};
}

}  // namespace

std::vector<CliCommand> TraceCommand::All() {
  return {{"trace",
           "ID [FILE ...]",
           "tell the story of a request or of a backend server from hosts' "
           "logs; without files from standard input",
           {},
           1,
           kMostFiles,
           Trace}};
}

ExitCode TraceCommand::Trace(const CliContext& context) {
  const std::vector<std::string>& words = context.args.positional();
  const std::string& name = words.front();
  LogTimeline story;
  if (words.size() == 1)
    story.Read(std::cin);
  for (size_t i = 1; i < words.size(); ++i) {
    std::ifstream in(words[i]);
    if (!in)
      throw UsageError("cannot read " + words[i]);
    story.Read(in);
  }
  if (story.unreadable() > 0) {
    context.err() << story.unreadable()
                  << " lines are no log lines or are cut; passed over\n";
  }
  const std::vector<const LogLine*> lines = story.LinesFor(name);
  if (context.settings.json) {
    context.out() << WriteJson(StoryJson(story, name));
    return lines.empty() ? ExitCode::kFailure : ExitCode::kOk;
  }
  if (lines.empty()) {
    context.out() << "no line of " << story.lines() << " concerns " << name
                  << ": its line was left out, its host ended before it, or it "
                     "reached no host of these logs\n";
    return ExitCode::kFailure;
  }
  for (const LogLine* it : lines)
    context.out() << FormatLogLine(*it, lines.front()->unix_ms) << "\n";
  for (const std::string& it : story.Conclusions(name))
    context.out() << it << "\n";
  return ExitCode::kOk;
}

}  // namespace toucanknot
