#include "include/config/object_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <utility>

#include "include/config/json_text.h"

namespace toucanknot {
namespace {

constexpr size_t kMaxNameLength = 64;
// Longer values are truncated in a Problem.
constexpr size_t kMaxShownLength = 120;
constexpr char kValidName[] =
    "a name of 1 to 64 letters, digits, '-', '_' and '.'";

std::string ShortText(const boost::json::value& value) {
  std::string text = WriteJsonLine(value);
  if (text.size() > kMaxShownLength)
    text = text.substr(0, kMaxShownLength) + "...";
  return text;
}

bool IsBlank(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isspace(c); });
}

std::optional<std::string> AsText(const boost::json::value& value) {
  if (!value.is_string())
    return std::nullopt;
  return std::string(value.get_string());
}

std::optional<int64_t> AsInteger(const boost::json::value& value,
                                 int64_t min,
                                 int64_t max) {
  if (!value.is_int64() || value.get_int64() < min || value.get_int64() > max)
    return std::nullopt;
  return value.get_int64();
}

}  // namespace

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_' || c == '.';
         });
}

ObjectReader::ObjectReader(std::string path,
                           const boost::json::value& value,
                           std::vector<Problem>& problems)
    : path_(std::move(path)), object_(value.if_object()), problems_(problems) {
  if (!object_) {
    problems_.push_back({path_.empty() ? "(whole text)" : path_,
                         ShortText(value), "an object"});
  }
}

std::string ObjectReader::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

const boost::json::value* ObjectReader::Member(std::string_view key) {
  known_.emplace_back(key);
  return object_ ? object_->if_contains({key.data(), key.size()}) : nullptr;
}

void ObjectReader::AddProblem(std::string_view key, std::string valid) {
  const boost::json::value* value = Member(key);
  problems_.push_back(
      {PathOf(key), value ? ShortText(*value) : "", std::move(valid)});
}

const boost::json::value* ObjectReader::Required(std::string_view key,
                                                 const std::string& valid) {
  const boost::json::value* value = Member(key);
  if (!value && object_)
    AddProblem(key, valid);
  return value;
}

std::string ObjectReader::Name(std::string_view key) {
  const boost::json::value* value = Required(key, kValidName);
  if (!value)
    return "";
  const auto text = AsText(*value);
  if (text && IsName(*text))
    return *text;
  AddProblem(key, kValidName);
  return "";
}

std::optional<std::string> ObjectReader::OptionalName(std::string_view key) {
  if (!Member(key))
    return std::nullopt;
  return Name(key);
}

std::string ObjectReader::Text(std::string_view key,
                               const std::optional<std::string>& fallback) {
  const std::string valid = "non-blank text";
  const boost::json::value* value =
      fallback ? Member(key) : Required(key, valid);
  if (!value)
    return fallback.value_or("");
  const auto text = AsText(*value);
  if (text && !IsBlank(*text))
    return *text;
  AddProblem(key, valid);
  return fallback.value_or("");
}

int64_t ObjectReader::Integer(std::string_view key,
                              int64_t min,
                              int64_t max,
                              std::optional<int64_t> fallback) {
  const std::string valid =
      fmt::format("a whole number from {} to {}", min, max);
  const boost::json::value* value =
      fallback ? Member(key) : Required(key, valid);
  if (!value)
    return fallback.value_or(min);
  if (const auto n = AsInteger(*value, min, max))
    return *n;
  AddProblem(key, valid);
  return fallback.value_or(min);
}

double ObjectReader::Number(std::string_view key,
                            double min,
                            double max,
                            std::optional<double> fallback) {
  const std::string valid = fmt::format("a number from {} to {}", min, max);
  const boost::json::value* value =
      fallback ? Member(key) : Required(key, valid);
  if (!value)
    return fallback.value_or(min);
  boost::system::error_code ec;
  const double n = value->is_number() ? value->to_number<double>(ec) : min - 1;
  if (!ec && n >= min && n <= max)
    return n;
  AddProblem(key, valid);
  return fallback.value_or(min);
}

bool ObjectReader::Flag(std::string_view key, bool fallback) {
  const boost::json::value* value = Member(key);
  if (!value)
    return fallback;
  if (value->is_bool())
    return value->get_bool();
  AddProblem(key, "true or false");
  return fallback;
}

Endpoint ObjectReader::Address(std::string_view key) {
  const std::string valid =
      "an IP address and a port, such as \"127.0.0.1:80\"";
  const boost::json::value* value = Required(key, valid);
  if (!value)
    return {};
  const auto address = Endpoint::Parse(AsText(*value).value_or(""));
  if (address)
    return *address;
  AddProblem(key, valid);
  return {};
}

std::vector<std::string> ObjectReader::Texts(std::string_view key) {
  std::vector<std::string> out;
  const boost::json::value* value = Member(key);
  if (!value)
    return out;
  bool ok = value->is_array();
  if (ok) {
    for (const auto& it : value->get_array()) {
      const auto text = AsText(it);
      ok = ok && text && !IsBlank(*text);
      out.push_back(text.value_or(""));
    }
  }
  if (!ok)
    AddProblem(key, "an array of non-blank texts");
  return out;
}

std::vector<int> ObjectReader::Integers(std::string_view key,
                                        int min,
                                        int max) {
  std::vector<int> out;
  const boost::json::value* value = Member(key);
  if (!value)
    return out;
  bool ok = value->is_array();
  if (ok) {
    for (const auto& it : value->get_array()) {
      const auto n = AsInteger(it, min, max);
      ok = ok && n;
      out.push_back(static_cast<int>(n.value_or(min)));
    }
  }
  if (!ok)
    AddProblem(
        key, fmt::format("an array of whole numbers from {} to {}", min, max));
  return out;
}

std::string ObjectReader::ItemPath(std::string_view key,
                                   size_t i,
                                   const boost::json::value& item) const {
  const auto* object = item.if_object();
  const auto* id = object ? object->if_contains("id") : nullptr;
  const std::string name = id ? AsText(*id).value_or("") : "";
  return PathOf(key) + "." + (IsName(name) ? name : std::to_string(i));
}

void ObjectReader::Items(std::string_view key,
                         bool required,
                         const ItemFn& fn) {
  const std::string valid =
      required ? "an array of at least one object" : "an array of objects";
  const boost::json::value* value =
      required ? Required(key, valid) : Member(key);
  if (!value)
    return;
  const auto* array = value->if_array();
  if (!array || (required && array->empty())) {
    AddProblem(key, valid);
    return;
  }
  for (size_t i = 0; i < array->size(); ++i) {
    const boost::json::value& item = (*array)[i];
    ObjectReader reader(ItemPath(key, i, item), item, problems_);
    if (!item.is_object())
      continue;
    fn(reader);
    reader.Finish();
  }
}

void ObjectReader::Finish() {
  if (!object_)
    return;
  std::sort(known_.begin(), known_.end());
  known_.erase(std::unique(known_.begin(), known_.end()), known_.end());
  for (const auto& it : *object_) {
    const std::string_view key(it.key().data(), it.key().size());
    if (!std::binary_search(known_.begin(), known_.end(), key))
      AddUnknownKeyProblem(key);
  }
}

void ObjectReader::AddUnknownKeyProblem(std::string_view key) {
  std::string valid;
  for (const std::string& it : known_)
    valid += (valid.empty() ? "one of " : ", ") + it;
  problems_.push_back({PathOf(key), "an unknown key", std::move(valid)});
}

}  // namespace toucanknot
