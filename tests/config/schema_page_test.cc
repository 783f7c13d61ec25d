#include <fmt/format.h>

#include <boost/json/value.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "include/config/config_text.h"
#include "include/config/json_text.h"
#include "include/config/tunable_table.h"
#include "tests/config/small_fleet.h"

namespace toucanknot {
namespace {

// The lines of docs/CONFIGURATION.md between the heading `title` and the next.
std::vector<std::string> Section(const std::string& title) {
  std::ifstream in(TOUCANKNOT_SOURCE_DIR "/docs/CONFIGURATION.md");
  REQUIRE(in);
  std::vector<std::string> lines;
  bool inside = false;
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("## "))
      inside = line == "## " + title;
    else if (inside)
      lines.push_back(line);
  }
  REQUIRE_FALSE(lines.empty());
  return lines;
}

std::string TunableRow(const TunableSpec& spec) {
  const std::string range = spec.unit == TunableUnit::kFlag
                                ? "-"
                                : fmt::format("{} to {}", spec.min, spec.max);
  return fmt::format("| `{}` | {} | {} | {} | {} |", spec.key,
                     kTunableUnitNames.Name(spec.unit), range,
                     WriteJsonLine(GetTunable(Tunables(), spec)),
                     kTunableLocationNames.Name(spec.location));
}

// Adds the paths of all members in `value`, with '*' for the index of an array.
void AddPaths(const boost::json::value& value,
              const std::string& path,
              std::set<std::string>& paths) {
  if (const auto* object = value.if_object()) {
    for (const auto& it : *object) {
      const std::string key(it.key());
      AddPaths(it.value(), path.empty() ? key : path + "." + key, paths);
    }
  } else if (value.is_array() && !value.get_array().empty() &&
             value.get_array()[0].is_object()) {
    AddPaths(value.get_array()[0], path + ".*", paths);
  } else {
    paths.insert(path);
  }
}

}  // namespace

TEST_CASE(
    "the configuration page lists exactly the tunables of the table, in "
    "order") {
  std::vector<std::string> rows;
  for (const std::string& it : Section("Tunables")) {
    if (it.starts_with("| `"))
      rows.push_back(it);
  }
  std::vector<std::string> expected;
  for (const TunableSpec& it : TunableTable())
    expected.push_back(TunableRow(it));
  CHECK(rows == expected);
}

TEST_CASE(
    "the configuration page lists the scope parts of each kind of location") {
  const auto lines = Section("Tunables");
  for (size_t i = 0; i < kTunableLocationNames.names.size(); ++i) {
    const auto location = static_cast<TunableLocation>(i);
    const std::string start =
        fmt::format("| {} |", kTunableLocationNames.Name(location));
    const std::string end = fmt::format("| {} |", AllowedScopeParts(location));
    CHECK(std::any_of(lines.begin(), lines.end(), [&](const std::string& it) {
      return it.starts_with(start) && it.ends_with(end);
    }));
  }
}

TEST_CASE("the configuration page lists every member of a configuration") {
  std::string page;
  for (const std::string& it : Section("Members"))
    page += it + "\n";
  FleetConfig config = *ParseFleetConfig(kSmallFleet, "test", 3);
  config.exceptions.push_back(
      {"e", {ServiceId("orders")}, "r", "a", 1'000, {{"max_queue", "7"}}});
  std::set<std::string> paths;
  AddPaths(ParseJson(WriteVersionedConfig(config), "test"), "", paths);
  paths.erase("exceptions.*.scope.service");
  paths.erase("exceptions.*.values.max_queue");
  for (const std::string& it : paths) {
    INFO(it);
    CHECK(page.find("`" + it + "`") != std::string::npos);
  }
  CHECK(paths.size() >= 25);
}

TEST_CASE("no two rows of the table share a member of Tunables") {
  for (const TunableSpec& spec : TunableTable()) {
    Tunables changed;
    const boost::json::value value =
        spec.unit == TunableUnit::kFlag
            ? boost::json::value(true)
            : boost::json::value(
                  GetTunable(Tunables(), spec).to_number<double>() == spec.max
                      ? spec.min
                      : spec.max);
    REQUIRE(SetTunable(spec, value, changed));
    int differing = 0;
    for (const TunableSpec& it : TunableTable())
      differing += GetTunable(changed, it) != GetTunable(Tunables(), it);
    INFO(spec.key);
    CHECK(differing == 1);
    CHECK(FindTunable(spec.key) == &spec);
  }
}

}  // namespace toucanknot
