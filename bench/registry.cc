#include "bench/registry.h"

#include <utility>

namespace toucanknot::bench {

std::vector<Command>& Commands() {
  static std::vector<Command> commands;
  return commands;
}

Registration::Registration(Command command) {
  Commands().push_back(std::move(command));
}

}  // namespace toucanknot::bench
