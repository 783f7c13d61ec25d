#ifndef BENCH_REGISTRY_H_
#define BENCH_REGISTRY_H_

#include <functional>
#include <string>
#include <vector>

namespace toucanknot::bench {

// A subcommand of toucanknot-bench.
struct Command {
  std::string name;
  // One line of help in the list of commands.
  std::string help;
  // Receives the arguments after the command's name; returns the exit code.
  std::function<int(const std::vector<std::string>& args)> run;
};

// The commands registered so far.
std::vector<Command>& Commands();

// Registers a command when it is constructed at namespace scope.
struct Registration {
  explicit Registration(Command command);
};

}  // namespace toucanknot::bench

#endif  // BENCH_REGISTRY_H_
