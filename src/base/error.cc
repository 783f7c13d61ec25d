#include "include/base/error.h"

#include <utility>

namespace toucanknot {
namespace {

std::string Describe(const std::string& source,
                     const std::vector<Problem>& problems) {
  std::string text;
  for (const Problem& it : problems) {
    if (!text.empty())
      text += '\n';
    text += source + ": " + it.path + ": found " +
            (it.found.empty() ? "nothing" : it.found) + ", valid: " + it.valid;
  }
  return text;
}

}  // namespace

InvalidConfigError::InvalidConfigError(const std::string& source,
                                       std::vector<Problem> problems)
    : Error(Describe(source, problems)), problems_(std::move(problems)) {}

}  // namespace toucanknot
