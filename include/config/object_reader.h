#ifndef INCLUDE_CONFIG_OBJECT_READER_H_
#define INCLUDE_CONFIG_OBJECT_READER_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/endpoint.h"
#include "include/base/error.h"

namespace toucanknot {

// Reads the members of one JSON object and notes every fault as a Problem
// rather than stopping at the first. A member that is faulty reads as its
// fallback. `value` and `problems` must outlive the reader.
class ObjectReader {
 public:
  ObjectReader(std::string path,
               const boost::json::value& value,
               std::vector<Problem>& problems);

  const std::string& path() const { return path_; }
  // The path of a member.
  std::string PathOf(std::string_view key) const;

  // A name of 1 to 64 letters, digits, '-', '_' and '.'.
  std::string Name(std::string_view key);
  std::optional<std::string> OptionalName(std::string_view key);
  // Text that is not blank; required when there is no fallback.
  std::string Text(std::string_view key,
                   const std::optional<std::string>& fallback = {});
  // A number in a range, both ends included; required when there is no
  // fallback.
  int64_t Integer(std::string_view key,
                  int64_t min,
                  int64_t max,
                  std::optional<int64_t> fallback = {});
  double Number(std::string_view key,
                double min,
                double max,
                std::optional<double> fallback = {});
  bool Flag(std::string_view key, bool fallback);
  // An IP number and a port.
  Endpoint Address(std::string_view key);
  // Names, or whole numbers in a range, in an array.
  std::vector<std::string> Texts(std::string_view key);
  std::vector<int> Integers(std::string_view key, int min, int max);

  using ItemFn = std::function<void(ObjectReader& item)>;
  // Calls `fn` for each object of an array, whose path holds the object's id.
  void Items(std::string_view key, bool required, const ItemFn& fn);

  // The member itself; null when absent.
  const boost::json::value* Member(std::string_view key);
  // Notes a fault at a member.
  void Fault(std::string_view key, std::string valid);
  // Notes every member that no call above has asked for.
  void Finish();

 private:
  // The member; notes that it is missing when `valid` is given.
  const boost::json::value* Required(std::string_view key,
                                     const std::string& valid);
  void NoteUnknown(std::string_view key);
  std::string ItemPath(std::string_view key,
                       size_t i,
                       const boost::json::value& item) const;

  std::string path_;
  const boost::json::object* object_ = nullptr;
  std::vector<Problem>& problems_;
  std::vector<std::string> known_;
};

// Whether `text` may be an id: 1 to 64 letters, digits, '-', '_' and '.'.
bool IsName(std::string_view text);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_OBJECT_READER_H_
