#ifndef INCLUDE_CONFIG_JSON_TEXT_H_
#define INCLUDE_CONFIG_JSON_TEXT_H_

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

namespace toucanknot {

// Reads JSON with comments. Throws InvalidConfigError naming `source`, and
// line and column when it is malformed or the members that an object has
// twice.
boost::json::value ParseJson(std::string_view text, const std::string& source);

// JSON for people: what fits into 80 columns is on one line, numbers are as
// short as they can be. The same value always gives the same text.
std::string WriteJson(const boost::json::value& value);

// The same on one line.
std::string WriteJsonLine(const boost::json::value& value);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_JSON_TEXT_H_
