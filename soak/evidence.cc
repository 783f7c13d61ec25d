#include "soak/evidence.h"

#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <string_view>
#include <utility>

namespace toucanknot::soak {
namespace {

constexpr std::string_view kIdMember = "\"id\":\"";

// The request id that a line of a host's log names; empty if it names none.
std::string IdIn(const std::string& line) {
  const size_t at = line.find(kIdMember);
  if (at == std::string::npos)
    return {};
  const size_t begin = at + kIdMember.size();
  return line.substr(begin, line.find('"', begin) - begin);
}

}  // namespace

void WriteEvidence(const InvariantChecker& checker, const std::string& folder) {
  if (checker.violating_requests().empty())
    return;
  std::map<std::string, boost::json::array> lines;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    if (file.path().extension() != ".log")
      continue;
    std::ifstream in(file.path());
    for (std::string line; std::getline(in, line);) {
      const std::string id = IdIn(line);
      if (checker.violating_requests().contains(id))
        lines[id].emplace_back(line);
    }
  }
  const int64_t epoch = UnixMillis() - SteadyNow().ms();
  std::ofstream out(folder + "/evidence.jsonl");
  for (const std::string& id : checker.violating_requests()) {
    boost::json::array events;
    for (const InvariantChecker::Event& it : checker.EventsOf(id)) {
      events.push_back({{"unix_ms", epoch + it.time.ms()},
                        {"event", it.what},
                        {"place", it.place}});
    }
    out << boost::json::serialize(
               boost::json::value{{"id", id},
                                  {"events", std::move(events)},
                                  {"log", std::move(lines[id])}})
        << "\n";
  }
}

}  // namespace toucanknot::soak
