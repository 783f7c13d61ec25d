#include "include/cli/command_line.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <iterator>

#include "src/cli/cli_settings.h"

namespace toucanknot {
namespace {

namespace po = boost::program_options;

constexpr char kPositional[] = "(arguments)";

std::vector<CliOption> OptionsOf(const CliCommand& command) {
  std::vector<CliOption> options = command.options;
  const auto& common = CommonOptions();
  options.insert(options.end(), common.begin(), common.end());
  return options;
}

po::options_description Describe(const std::vector<CliOption>& options) {
  po::options_description description;
  for (const CliOption& it : options) {
    if (it.argument.empty())
      description.add_options()(it.name.c_str(), it.help.c_str());
    else if (it.repeatable)
      description.add_options()(it.name.c_str(),
                                po::value<std::vector<std::string>>(),
                                it.help.c_str());
    else
      description.add_options()(it.name.c_str(), po::value<std::string>(),
                                it.help.c_str());
  }
  return description;
}

CliArgs ParseArgs(const CliCommand& command,
                  const std::vector<std::string>& rest) {
  po::options_description description = Describe(OptionsOf(command));
  description.add_options()(kPositional, po::value<std::vector<std::string>>());
  po::positional_options_description positions;
  positions.add(kPositional, -1);
  const auto style = po::command_line_style::unix_style &
                     ~po::command_line_style::allow_guessing;
  const auto parsed = po::command_line_parser(rest)
                          .options(description)
                          .positional(positions)
                          .style(style)
                          .run();
  // Throws for options that are given twice or without their value.
  po::variables_map checked;
  po::store(parsed, checked);
  std::vector<std::string> positional;
  std::map<std::string, std::vector<std::string>> options;
  for (const auto& it : parsed.options) {
    auto& target =
        it.string_key == kPositional ? positional : options[it.string_key];
    target.insert(target.end(), it.value.begin(), it.value.end());
  }
  return {std::move(positional), std::move(options)};
}

ExitCode Fail(std::ostream& err, const std::exception& e, ExitCode code) {
  err << "toucanknot: " << e.what() << '\n';
  return code;
}

}  // namespace

CommandLine::CommandLine(std::vector<CliCommand> commands)
    : commands_(std::move(commands)) {}

const CliCommand* CommandLine::Find(const std::vector<std::string>& args,
                                    size_t& words) const {
  for (words = std::min<size_t>(2, args.size()); words > 0; --words) {
    const std::string name = words == 2 ? args[0] + " " + args[1] : args[0];
    const auto it =
        std::find_if(commands_.begin(), commands_.end(),
                     [&](const CliCommand& c) { return c.name == name; });
    if (it != commands_.end())
      return &*it;
  }
  return nullptr;
}

ExitCode CommandLine::Run(const std::vector<std::string>& args,
                          const CliEnvironment& env) const {
  if (!args.empty() && (args[0] == "--help" || args[0] == "help")) {
    PrintCommands(*env.out);
    return ExitCode::kOk;
  }
  size_t words = 0;
  const CliCommand* command = Find(args, words);
  if (!command) {
    *env.err << (args.empty()
                     ? "toucanknot: no command given\n"
                     : "toucanknot: unknown command " + args[0] + "\n");
    PrintCommands(*env.err);
    return ExitCode::kBadInput;
  }
  const auto first = args.begin() + static_cast<std::ptrdiff_t>(words);
  try {
    return RunCommand(*command, {first, args.end()}, env);
  } catch (const UsageError& e) {
    return Fail(*env.err, e, ExitCode::kBadInput);
  } catch (const InvalidConfigError& e) {
    return Fail(*env.err, e, ExitCode::kBadInput);
  } catch (const po::error& e) {
    return Fail(*env.err, e, ExitCode::kBadInput);
  } catch (const StoreUnavailableError& e) {
    return Fail(*env.err, e, ExitCode::kStoreUnavailable);
  } catch (const std::exception& e) {
    return Fail(*env.err, e, ExitCode::kFailure);
  }
}

ExitCode CommandLine::RunCommand(const CliCommand& command,
                                 const std::vector<std::string>& rest,
                                 const CliEnvironment& env) const {
  const CliArgs args = ParseArgs(command, rest);
  if (args.Has("help")) {
    PrintUsage(command, *env.out);
    return ExitCode::kOk;
  }
  const size_t n = args.positional().size();
  if (n < command.min_positional || n > command.max_positional) {
    throw UsageError(fmt::format(
        "{} takes: {}", command.name,
        command.arguments.empty() ? "no arguments" : command.arguments));
  }
  return command.run({env, ReadCliSettings(args, env), args});
}

void CommandLine::PrintCommands(std::ostream& out) const {
  out << "Commands (use COMMAND --help for its options):\n";
  for (const CliCommand& it : commands_) {
    out << fmt::format("  {:34} {}\n", it.name + " " + it.arguments, it.help);
  }
}

void CommandLine::PrintUsage(const CliCommand& command, std::ostream& out) {
  out << "toucanknot " << command.name << " " << command.arguments << "\n"
      << command.help << "\n";
  for (const CliOption& it : OptionsOf(command)) {
    out << fmt::format("  {:24} {}\n", "--" + it.name + " " + it.argument,
                       it.help);
  }
}

}  // namespace toucanknot
