#include "include/config/json_text.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/parse_options.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>
#include <cstdint>

#include "include/base/error.h"
#include "src/config/duplicate_keys.h"

namespace toucanknot {
namespace {

constexpr size_t kLineWidth = 80;

// Line and column of `offset`, both counted from 1.
std::string Position(std::string_view text, size_t offset) {
  const std::string_view before = text.substr(0, offset);
  const auto line = std::count(before.begin(), before.end(), '\n') + 1;
  const size_t start = before.rfind('\n');
  const size_t column =
      offset - (start == std::string_view::npos ? 0 : start + 1) + 1;
  return fmt::format("line {}, column {}", line, column);
}

std::string Scalar(const boost::json::value& value) {
  if (!value.is_double())
    return boost::json::serialize(value);
  return fmt::format("{}", value.get_double());
}

std::string Quoted(boost::json::string_view key) {
  return boost::json::serialize(boost::json::value(key));
}

// Appends `value` on one line. Stops, with `value` partly written, as soon as
// `out` is longer than `limit`. Returns whether `value` was written completely.
bool AppendLine(const boost::json::value& value,
                size_t limit,
                std::string& out) {
  const char* separator = "";
  if (const auto* object = value.if_object()) {
    out += '{';
    for (const auto& it : *object) {
      out += separator + Quoted(it.key()) + ": ";
      if (!AppendLine(it.value(), limit, out))
        return false;
      separator = ", ";
    }
    out += '}';
  } else if (const auto* array = value.if_array()) {
    out += '[';
    for (const auto& it : *array) {
      out += separator;
      if (!AppendLine(it, limit, out))
        return false;
      separator = ", ";
    }
    out += ']';
  } else {
    out += Scalar(value);
  }
  return out.size() <= limit;
}

void Append(const boost::json::value& value, size_t indent, std::string& out);

// Appends an array or object with each member on its own line.
void AppendBroken(const boost::json::value& value,
                  size_t indent,
                  std::string& out) {
  const std::string pad(indent + 2, ' ');
  const bool is_object = value.is_object();
  out += is_object ? "{\n" : "[\n";
  const char* separator = "";
  const auto start_member = [&] {
    out += separator + pad;
    separator = ",\n";
  };
  if (is_object) {
    for (const auto& it : value.get_object()) {
      start_member();
      out += Quoted(it.key()) + ": ";
      Append(it.value(), indent + 2, out);
    }
  } else {
    for (const auto& it : value.get_array()) {
      start_member();
      Append(it, indent + 2, out);
    }
  }
  out += '\n' + std::string(indent, ' ') + (is_object ? '}' : ']');
}

void Append(const boost::json::value& value, size_t indent, std::string& out) {
  const bool structured = value.is_object() || value.is_array();
  const size_t start = out.size();
  const size_t limit =
      structured ? start + kLineWidth - std::min(indent, kLineWidth) : SIZE_MAX;
  if (AppendLine(value, limit, out))
    return;
  out.resize(start);
  AppendBroken(value, indent, out);
}

}  // namespace

boost::json::value ParseJson(std::string_view text, const std::string& source) {
  boost::json::parse_options options;
  options.allow_comments = true;
  boost::json::stream_parser parser({}, options);
  boost::system::error_code ec;
  const size_t n = parser.write_some({text.data(), text.size()}, ec);
  if (!ec && n < text.size())
    ec = boost::json::error::extra_data;
  if (!ec)
    parser.finish(ec);
  if (ec) {
    throw InvalidConfigError(
        source, {{Position(text, n), ec.message(), "JSON with comments"}});
  }
  std::vector<Problem> problems;
  for (std::string& it : FindDuplicateKeys(text))
    problems.push_back({std::move(it), "duplicate key", "each key once"});
  if (!problems.empty())
    throw InvalidConfigError(source, std::move(problems));
  return parser.release();
}

std::string WriteJsonLine(const boost::json::value& value) {
  std::string out;
  AppendLine(value, SIZE_MAX, out);
  return out;
}

std::string WriteJson(const boost::json::value& value) {
  std::string out;
  Append(value, 0, out);
  return out + '\n';
}

}  // namespace toucanknot
