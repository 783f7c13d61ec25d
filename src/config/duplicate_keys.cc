#include "src/config/duplicate_keys.h"

#include <boost/json/basic_parser_impl.hpp>
#include <cstdint>
#include <set>

namespace toucanknot {
namespace {

namespace json = boost::json;
using boost::system::error_code;

// Handler for Boost.JSON's basic_parser, which prescribes the function names.
// Tracks the parser's position in each open object and array.
class KeyHandler {
 public:
  static constexpr size_t max_object_size = SIZE_MAX;  // NOLINT
  static constexpr size_t max_array_size = SIZE_MAX;   // NOLINT
  static constexpr size_t max_key_size = SIZE_MAX;     // NOLINT
  static constexpr size_t max_string_size = SIZE_MAX;  // NOLINT

  std::vector<std::string> duplicates;

  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }
  bool on_object_begin(error_code&) { return Open(true); }
  bool on_object_end(size_t, error_code&) { return Close(); }
  bool on_array_begin(error_code&) { return Open(false); }
  bool on_array_end(size_t, error_code&) { return Close(); }
  bool on_key_part(json::string_view part, size_t, error_code&) {
    key_.append(part.data(), part.size());
    return true;
  }
  bool on_key(json::string_view part, size_t, error_code&) {
    key_.append(part.data(), part.size());
    Level& level = levels_.back();
    level.at = std::move(key_);
    key_.clear();
    if (!level.keys.insert(level.at).second)
      duplicates.push_back(Path());
    return true;
  }
  bool on_string_part(json::string_view, size_t, error_code&) { return true; }
  bool on_string(json::string_view, size_t, error_code&) { return Next(); }
  bool on_number_part(json::string_view, error_code&) { return true; }
  bool on_int64(int64_t, json::string_view, error_code&) { return Next(); }
  bool on_uint64(uint64_t, json::string_view, error_code&) { return Next(); }
  bool on_double(double, json::string_view, error_code&) { return Next(); }
  bool on_bool(bool, error_code&) { return Next(); }
  bool on_null(error_code&) { return Next(); }
  bool on_comment_part(json::string_view, error_code&) { return true; }
  bool on_comment(json::string_view, error_code&) { return true; }

 private:
  struct Level {
    bool is_object;
    std::string at;
    size_t index = 0;
    std::set<std::string> keys;
  };

  bool Open(bool is_object) {
    levels_.push_back({is_object, is_object ? "" : "0"});
    return true;
  }
  bool Close() {
    levels_.pop_back();
    return Next();
  }
  // Called at the end of each value.
  bool Next() {
    if (!levels_.empty() && !levels_.back().is_object)
      levels_.back().at = std::to_string(++levels_.back().index);
    return true;
  }
  std::string Path() const {
    std::string path;
    for (const Level& it : levels_)
      path += (path.empty() ? "" : ".") + it.at;
    return path;
  }

  std::string key_;
  std::vector<Level> levels_;
};

}  // namespace

std::vector<std::string> FindDuplicateKeys(std::string_view text) {
  json::parse_options options;
  options.allow_comments = true;
  json::basic_parser<KeyHandler> parser(options);
  error_code ec;
  parser.write_some(false, text.data(), text.size(), ec);
  return std::move(parser.handler().duplicates);
}

}  // namespace toucanknot
