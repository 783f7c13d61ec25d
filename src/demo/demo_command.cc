#include "src/demo/demo_command.h"

#include <spdlog/spdlog.h>

#include "src/demo/demo_run.h"

namespace toucanknot {
namespace {

ExitCode RunDemo(const CliContext& context) {
  DemoRun::Options options;
  options.deployment = context.args.Value("deployment").value_or("haufiku");
  options.examples = context.args.Value("examples").value_or("examples");
  options.seed = context.args.NumberValue("seed").value_or(1);
  if (options.deployment != "haufiku" && options.deployment != "quetzal")
    throw UsageError("--deployment must be haufiku or quetzal");
  spdlog::set_level(spdlog::level::warn);
  DemoRun run(options, context.out());
  return run.Run() ? ExitCode::kOk : ExitCode::kFailure;
}

}  // namespace

CliCommand DemoCommand() {
  CliCommand command;
  command.name = "demo";
  command.help = "run a small fleet with stand-in servers on this machine";
  command.options = {
      {"deployment", "NAME", "haufiku or quetzal"},
      {"examples", "DIR", "directory of the example configurations"},
      {"seed", "N", "seed of the callers' random number generators"},
  };
  command.run = RunDemo;
  return command;
}

}  // namespace toucanknot
