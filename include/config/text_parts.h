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

// A text cut into parts that are named by their digests, so that who has one
// version needs only the changed parts of the next. The cuts are at ends of
// lines and depend on the line before the cut alone: a change of one line
// changes one part, or two where it makes or takes away a cut.
class TextParts {
 public:
  // Bounds of a part in bytes; the first does not hold for the last part, the
  // second not for a longer line.
  static constexpr size_t kMinBytes = 2 << 10;
  static constexpr size_t kMaxBytes = 32 << 10;

  TextParts() = default;
  explicit TextParts(std::string text);

  const std::string& text() const { return text_; }
  // In the order of the text.
  const std::vector<std::string>& digests() const { return digests_; }
  // The part with this digest; nothing when there is none.
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

// Gets a part that is not at hand.
using FetchPartFn = std::function<std::string(const std::string& digest)>;

// The text that is made of the parts `digests`; those that `known` lacks come
// from `fetch`, each once.
std::string JoinParts(const std::vector<std::string>& digests,
                      const TextParts& known,
                      const FetchPartFn& fetch);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_TEXT_PARTS_H_
