#ifndef SRC_ENTRY_DECISION_LOG_H_
#define SRC_ENTRY_DECISION_LOG_H_

#include <boost/json/value_ref.hpp>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace toucanknot {

// The members of a log line.
using LogFields = std::initializer_list<
    std::pair<boost::json::string_view, boost::json::value_ref>>;

// Sends the process's log to standard output, one JSON object a line. Lines
// that standard output does not take at once are dropped; they and those above
// the rate are counted in a later line. For one thread.
void StartDecisionLog(const std::string& host);

// A line about what this process believes, or about its life.
void LogChange(std::string_view event, LogFields fields);

// A line about a request. Requests that went well (`plain`) are left out first
// when there are many.
void LogRequest(bool plain, LogFields fields);

// Writes what has been held back. Call once a second.
void FlushDecisionLog();

}  // namespace toucanknot

#endif  // SRC_ENTRY_DECISION_LOG_H_
