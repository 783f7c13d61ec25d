#include "src/cli/cli_settings.h"

#include <boost/json/value.hpp>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>

#include "include/config/json_text.h"
#include "include/config/object_reader.h"

namespace toucanknot {
namespace {

constexpr int64_t kMaxTimeoutMs = 600'000;

void ReadAdmins(ObjectReader& reader, CliSettings& settings) {
  for (const std::string& it : reader.Texts("admins")) {
    const auto address = Endpoint::Parse(it);
    if (address)
      settings.admins.push_back(*address);
    else
      reader.AddProblem("admins", "an array of IP addresses with ports");
  }
}

CliSettings ReadSettingsFile(const std::string& path) {
  const boost::json::value value = ParseJson(ReadFile(path), path);
  std::vector<Problem> problems;
  ObjectReader reader("", value, problems);
  CliSettings settings;
  if (reader.Member("store"))
    settings.store = reader.Address("store");
  ReadAdmins(reader, settings);
  settings.admin_token = reader.Text("admin_token", "");
  settings.author = reader.Text("author", "");
  settings.timeout = Duration(
      reader.Integer("timeout_ms", 1, kMaxTimeoutMs, settings.timeout.ms()));
  settings.json = reader.Flag("json", false);
  reader.Finish();
  if (!problems.empty())
    throw InvalidConfigError(path, std::move(problems));
  return settings;
}

std::vector<Endpoint> AdminsIn(const CliArgs& args) {
  std::vector<Endpoint> admins;
  for (const std::string& it : args.Values("admin")) {
    const auto address = Endpoint::Parse(it);
    if (!address)
      throw UsageError(
          "--admin: found " + it +
          ", valid: an IP address and a port, such as 127.0.0.1:80");
    admins.push_back(*address);
  }
  return admins;
}

}  // namespace

const std::vector<CliOption>& CommonOptions() {
  static const std::vector<CliOption> options = {
      {"settings", "FILE",
       "file with defaults for these options, JSON with comments"},
      {"store", "IP:PORT", "address of the platform's store"},
      {"admin", "IP:PORT", "admin address of a host; may be repeated", true},
      {"author", "NAME", "author of the change; default: $USER"},
      {"timeout-ms", "MS", "timeout of each request to the store or a host"},
      {"json", "", "print the result as one JSON object"},
      {"dry-run", "", "show what would change without changing it"},
      {"help", "", "show this command's options"},
  };
  return options;
}

CliSettings ReadCliSettings(const CliArgs& args, const CliEnvironment& env) {
  CliSettings settings;
  const auto path = args.Has("settings") ? args.Value("settings")
                                         : env.getenv("TOUCANKNOT_SETTINGS");
  if (path)
    settings = ReadSettingsFile(*path);
  if (args.Has("store"))
    settings.store = args.EndpointValue("store");
  if (args.Has("admin"))
    settings.admins = AdminsIn(args);
  if (args.Has("author"))
    settings.author = args.RequiredValue("author");
  if (settings.author.empty())
    settings.author = env.getenv("USER").value_or("");
  if (const auto ms = args.NumberValue("timeout-ms")) {
    if (*ms < 1 || *ms > kMaxTimeoutMs)
      throw UsageError("--timeout-ms: valid: 1 to " +
                       std::to_string(kMaxTimeoutMs));
    settings.timeout = Duration(static_cast<int64_t>(*ms));
  }
  settings.json = settings.json || args.Has("json");
  settings.dry_run = args.Has("dry-run");
  return settings;
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in.is_open() || in.bad())
    throw UsageError(path + ": " + std::strerror(errno));
  return text;
}

}  // namespace toucanknot
