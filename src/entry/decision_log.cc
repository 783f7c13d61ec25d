#include "src/entry/decision_log.h"

#include <fcntl.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <cstdint>
#include <memory>

#include "include/base/clock.h"

namespace toucanknot {
namespace {

// Limits in lines a second. A line takes about 20 microseconds, so logging
// costs well under one percent of a core.
constexpr int kPlainPerSecond = 20;
constexpr int kLinesPerSecond = 200;

// Writes to standard output without waiting for its reader.
class NonBlockingSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  NonBlockingSink() {
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
      ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }

  uint64_t ExchangeDropped() { return std::exchange(dropped_, 0); }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    const ssize_t n = ::write(STDOUT_FILENO, line.data(), line.size());
    if (n != static_cast<ssize_t>(line.size()))
      ++dropped_;
  }
  void flush_() override {}

 private:
  uint64_t dropped_ = 0;
};

// The log of the process.
class DecisionLog {
 public:
  void Start(const std::string& host) {
    host_ = host;
    sink_ = std::make_shared<NonBlockingSink>();
    logger_ = std::make_shared<spdlog::logger>("toucanknot", sink_);
    logger_->set_pattern("%v");
    spdlog::set_default_logger(logger_);
  }

  void Write(std::string_view event, bool plain, LogFields fields) {
    if (!logger_)
      return;
    if (lines_ >= kLinesPerSecond || (plain && plain_ >= kPlainPerSecond)) {
      ++left_out_;
      return;
    }
    ++lines_;
    plain_ += plain ? 1 : 0;
    boost::json::object line{
        {"unix_ms", UnixMillis()}, {"host", host_}, {"event", event}};
    line.insert(fields);
    logger_->info(boost::json::serialize(line));
  }

  // Starts a new second.
  void Flush() {
    lines_ = 0;
    plain_ = 0;
    const uint64_t dropped = sink_ ? sink_->ExchangeDropped() : 0;
    const uint64_t left_out = std::exchange(left_out_, 0);
    if (dropped + left_out > 0) {
      Write("log_lines_left_out", false,
            {{"over_rate", left_out}, {"not_taken", dropped}});
    }
  }

 private:
  std::string host_;
  std::shared_ptr<NonBlockingSink> sink_;
  std::shared_ptr<spdlog::logger> logger_;
  int lines_ = 0;
  int plain_ = 0;
  uint64_t left_out_ = 0;
};

DecisionLog& Log() {
  static DecisionLog log;
  return log;
}

}  // namespace

void StartDecisionLog(const std::string& host) {
  Log().Start(host);
}

boost::json::value VersionValue(const ConfigVersion& version) {
  if (const std::optional<uint64_t> n = version.ToUint64())
    return *n;
  return boost::json::string(version.ToString());
}

void LogChange(std::string_view event, LogFields fields) {
  Log().Write(event, false, fields);
}

void LogRequest(bool plain, LogFields fields) {
  Log().Write("request", plain, fields);
}

void FlushDecisionLog() {
  Log().Flush();
}

}  // namespace toucanknot
