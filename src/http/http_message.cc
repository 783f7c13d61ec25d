#include "src/http/http_message.h"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/url/params_view.hpp>
#include <boost/url/parse.hpp>
#include <locale>
#include <string>
#include <unordered_set>
#include <utility>

namespace toucanknot {
namespace {

constexpr std::string_view kHopByHopFields[] = {
    "Connection",          "Keep-Alive", "Proxy-Connection",
    "Proxy-Authenticate",  "TE",         "Trailer",
    "Proxy-Authorization", "Upgrade",    "Transfer-Encoding",
};

bool SameName(std::string_view a, std::string_view b) {
  return boost::algorithm::iequals(a, b);
}

std::string LowerCase(std::string_view text) {
  return boost::algorithm::to_lower_copy(std::string(text),
                                         std::locale::classic());
}

// Adds the items of a comma-separated list, in lower case.
void AddListItems(std::string_view value,
                  std::unordered_set<std::string>& items) {
  while (!value.empty()) {
    const size_t comma = value.find(',');
    std::string item = LowerCase(value.substr(0, comma));
    boost::algorithm::trim(item);
    if (!item.empty())
      items.insert(std::move(item));
    if (comma == std::string_view::npos)
      break;
    value.remove_prefix(comma + 1);
  }
}

HttpResponse WithBody(int status, std::string type, std::string body) {
  HttpResponse response;
  response.status = status;
  response.fields.Add("Content-Type", std::move(type));
  response.body = std::move(body);
  return response;
}

// The parser's node and ours, at twice the capacity of a list that grows.
constexpr size_t kBytesPerField = 256;
// The parser's copy of names and values and ours.
constexpr size_t kCopiesOfBytes = 2;

}  // namespace

int64_t FieldMemory(size_t fields, size_t bytes) {
  return static_cast<int64_t>(fields * kBytesPerField + bytes * kCopiesOfBytes);
}

std::string_view HttpFields::Get(std::string_view name) const {
  for (const HttpField& it : fields_) {
    if (SameName(it.name, name))
      return it.value;
  }
  return {};
}

bool HttpFields::Has(std::string_view name) const {
  return std::any_of(fields_.begin(), fields_.end(), [&](const HttpField& f) {
    return SameName(f.name, name);
  });
}

void HttpFields::Add(std::string name, std::string value) {
  fields_.push_back({std::move(name), std::move(value)});
}

void HttpFields::Set(std::string_view name, std::string value) {
  Remove(name);
  Add(std::string(name), std::move(value));
}

void HttpFields::Remove(std::string_view name) {
  RemoveIf([&](const HttpField& f) { return SameName(f.name, name); });
}

void HttpFields::RemoveIf(
    const std::function<bool(const HttpField&)>& predicate) {
  std::erase_if(fields_, predicate);
}

HttpResponse TextResponse(int status, std::string text) {
  return WithBody(status, "text/plain; charset=utf-8", std::move(text) + "\n");
}

HttpResponse JsonResponse(int status, std::string json) {
  return WithBody(status, "application/json", std::move(json));
}

void RemoveHopByHop(HttpFields& fields) {
  std::unordered_set<std::string> names;
  for (const std::string_view it : kHopByHopFields)
    names.insert(LowerCase(it));
  for (const HttpField& it : fields.all()) {
    if (SameName(it.name, "Connection"))
      AddListItems(it.value, names);
  }
  fields.RemoveIf(
      [&](const HttpField& it) { return names.contains(LowerCase(it.name)); });
}

std::string_view TargetPath(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string QueryValue(std::string_view target, std::string_view key) {
  const auto url = boost::urls::parse_origin_form(target);
  if (!url)
    return {};
  for (const auto& it : url->params()) {
    if (it.key == key)
      return it.value;
  }
  return {};
}

}  // namespace toucanknot
