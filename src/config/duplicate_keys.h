#ifndef SRC_CONFIG_DUPLICATE_KEYS_H_
#define SRC_CONFIG_DUPLICATE_KEYS_H_

#include <string>
#include <string_view>
#include <vector>

namespace toucanknot {

// The paths of members that occur more than once in the same object of a JSON
// text with comments; a JSON parser would silently keep the last one. `text`
// must be well formed.
std::vector<std::string> FindDuplicateKeys(std::string_view text);

}  // namespace toucanknot

#endif  // SRC_CONFIG_DUPLICATE_KEYS_H_
