#ifndef INCLUDE_BASE_ERROR_H_
#define INCLUDE_BASE_ERROR_H_

#include <stdexcept>
#include <string>
#include <vector>

namespace toucanknot {

// Base class of the project's exceptions.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One error found in settings or in a configuration.
struct Problem {
  // JSON path of the value, such as "services.tracker.deadline_ms".
  std::string path;
  // The value found, as JSON text; empty when there is none.
  std::string found;
  // What would be valid there.
  std::string valid;

  bool operator==(const Problem&) const = default;
};

// Settings or a configuration are invalid. Contains all problems found.
class InvalidConfigError : public Error {
 public:
  InvalidConfigError(const std::string& source, std::vector<Problem> problems);

  const std::vector<Problem>& problems() const { return problems_; }

 private:
  std::vector<Problem> problems_;
};

}  // namespace toucanknot

#endif  // INCLUDE_BASE_ERROR_H_
