#ifndef INCLUDE_CONFIG_JSON_TEXT_H_
#define INCLUDE_CONFIG_JSON_TEXT_H_

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

namespace toucanknot {

// Parses JSON with comments. Throws InvalidConfigError naming `source` and
// either the line and column of a syntax error or the duplicate members.
boost::json::value ParseJson(std::string_view text, const std::string& source);

// Formats JSON for human readers: values that fit into 80 columns are on one
// line, and numbers are as short as possible. Deterministic.
std::string WriteJson(const boost::json::value& value);

// The same on one line.
std::string WriteJsonLine(const boost::json::value& value);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_JSON_TEXT_H_
