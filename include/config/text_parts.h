#ifndef INCLUDE_CONFIG_TEXT_PARTS_H_
#define INCLUDE_CONFIG_TEXT_PARTS_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace toucanknot {

// A text split into parts by content-defined chunking. Parts are identified by
// their digests, so that a host that has one version fetches only the changed
// parts of the next. Parts end at line ends, and whether a part ends after a
// line depends mostly on that line alone: changing one line changes one part,
// or two where the change adds or removes a boundary.
class TextParts {
 public:
  // Minimum and maximum size of a part in bytes. The last part may be shorter,
  // and a part that is a single line may be longer.
  static constexpr size_t kMinBytes = 2 << 10;
  static constexpr size_t kMaxBytes = 32 << 10;

  TextParts() = default;
  explicit TextParts(std::string text);

  const std::string& text() const { return text_; }
  // In the order of the text.
  const std::vector<std::string>& digests() const { return digests_; }
  // The part with this digest, if there is one.
  std::optional<std::string_view> Find(const std::string& digest) const;
  // Which of `digests` are not among these parts.
  std::vector<std::string> Missing(
      const std::vector<std::string>& digests) const;

 private:
  struct Piece {
    size_t offset = 0;
    size_t size = 0;
  };

  std::string text_;
  std::vector<std::string> digests_;
  std::unordered_map<std::string, Piece> pieces_;
};

// Fetches the part with this digest.
using FetchPartFn = std::function<std::string(const std::string& digest)>;

// Concatenates the parts `digests`. Parts that `known` lacks are fetched with
// `fetch`, each once.
std::string JoinParts(const std::vector<std::string>& digests,
                      const TextParts& known,
                      const FetchPartFn& fetch);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_TEXT_PARTS_H_
