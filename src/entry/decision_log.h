#ifndef SRC_ENTRY_DECISION_LOG_H_
#define SRC_ENTRY_DECISION_LOG_H_

#include <boost/json/value.hpp>
#include <boost/json/value_ref.hpp>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "include/routing/config_version.h"

namespace toucanknot {

// Fields of a log line.
using LogFields = std::initializer_list<
    std::pair<boost::json::string_view, boost::json::value_ref>>;

// Directs the process's log to standard output, one JSON object per line. Lines
// that standard output does not accept at once are dropped; the number of these
// and of those above the rate limit is logged later. For one thread.
void StartDecisionLog(const std::string& host);

// The version as a field: a number, or a string if it exceeds 64 bits.
boost::json::value VersionValue(const ConfigVersion& version);

// Logs a change of this process's state or of its view of the fleet.
void LogChange(std::string_view event, LogFields fields);

// Logs a request. Above the rate limit, successful requests (`plain`) are left
// out first.
void LogRequest(bool plain, LogFields fields);

// Starts a new rate-limit interval and logs how many lines were left out. Call
// once a second.
void FlushDecisionLog();

}  // namespace toucanknot

#endif  // SRC_ENTRY_DECISION_LOG_H_
