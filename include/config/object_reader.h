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

// Reads the members of one JSON object and collects every error as a Problem
// rather than stopping at the first. An invalid member reads as its fallback.
// `value` and `problems` must outlive the reader.
class ObjectReader {
 public:
  ObjectReader(std::string path,
               const boost::json::value& value,
               std::vector<Problem>& problems);

  const std::string& path() const { return path_; }
  // The path of the member `key`.
  std::string PathOf(std::string_view key) const;

  // A name of 1 to 64 letters, digits, '-', '_' and '.'.
  std::string Name(std::string_view key);
  std::optional<std::string> OptionalName(std::string_view key);
  // Non-blank text; required when there is no fallback.
  std::string Text(std::string_view key,
                   const std::optional<std::string>& fallback = {});
  // A number from `min` to `max`, both inclusive; required when there is no
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
  // An IP address and a port.
  Endpoint Address(std::string_view key);
  // An array of non-blank texts, or of integers from `min` to `max`; empty when
  // absent.
  std::vector<std::string> Texts(std::string_view key);
  std::vector<int> Integers(std::string_view key, int min, int max);

  using ItemFn = std::function<void(ObjectReader& item)>;
  // Calls `fn` for each object of the array `key`. The path of an item contains
  // its id, or its index when it has none.
  void Items(std::string_view key, bool required, const ItemFn& fn);

  // The JSON value of a member; null when absent.
  const boost::json::value* Member(std::string_view key);
  // Adds a problem at the member `key`; `valid` says what is valid there.
  void AddProblem(std::string_view key, std::string valid);
  // Adds a problem for every member that none of the functions above was called
  // for.
  void Finish();

 private:
  // The member; adds a problem when it is missing.
  const boost::json::value* Required(std::string_view key,
                                     const std::string& valid);
  void AddUnknownKeyProblem(std::string_view key);
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
