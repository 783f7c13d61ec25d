#ifndef SRC_CONFIG_DUPLICATE_KEYS_H_
#define SRC_CONFIG_DUPLICATE_KEYS_H_

#include <string>
#include <string_view>
#include <vector>

namespace toucanknot {

// The paths of members that a JSON text with comments gives more than once in
// one object, of which a reader would silently keep the last. `text` must be
// well formed.
std::vector<std::string> FindDuplicateKeys(std::string_view text);

}  // namespace toucanknot

#endif  // SRC_CONFIG_DUPLICATE_KEYS_H_
