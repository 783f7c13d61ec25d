#include "src/daemon/log_format.h"

#include <fmt/format.h>
#include <spdlog/formatter.h>
#include <spdlog/sinks/stdout_color_sinks.h>
#include <spdlog/spdlog.h>

#include <boost/json.hpp>
#include <chrono>
#include <memory>

namespace toucanknot {
namespace {

// Writes each message as one JSON object on a line of its own.
class JsonFormatter : public spdlog::formatter {
 public:
  explicit JsonFormatter(std::string host) : host_(std::move(host)) {}

  void format(const spdlog::details::log_msg& message,
              spdlog::memory_buf_t& out) override {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        message.time.time_since_epoch());
    const auto level = spdlog::level::to_string_view(message.level);
    const std::string line = boost::json::serialize(boost::json::value{
        {"unix_ms", ms.count()},
        {"level", std::string(level.data(), level.size())},
        {"host", host_},
        {"message",
         std::string(message.payload.data(), message.payload.size())}});
    fmt::format_to(std::back_inserter(out), "{}\n", line);
  }

  std::unique_ptr<spdlog::formatter> clone() const override {
    return std::make_unique<JsonFormatter>(host_);
  }

 private:
  const std::string host_;
};

}  // namespace

void ConfigureLogs(const HostSettings& settings) {
  auto logger = spdlog::stderr_color_mt("toucanknot");
  if (settings.log_format == LogFormat::kJson)
    logger->set_formatter(std::make_unique<JsonFormatter>(settings.host.str()));
  logger->set_level(spdlog::level::from_str(settings.log_level));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

}  // namespace toucanknot
