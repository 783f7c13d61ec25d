#include "include/cli/command.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>
#include <utility>

#include "src/store/http_store.h"

namespace toucanknot {

CliArgs::CliArgs(std::vector<std::string> positional,
                 std::map<std::string, std::vector<std::string>> options)
    : positional_(std::move(positional)), options_(std::move(options)) {}

bool CliArgs::Has(const std::string& option) const {
  return options_.count(option) != 0;
}

std::vector<std::string> CliArgs::Values(const std::string& option) const {
  const auto it = options_.find(option);
  return it == options_.end() ? std::vector<std::string>() : it->second;
}

std::optional<std::string> CliArgs::Value(const std::string& option) const {
  const auto all = Values(option);
  return all.empty() ? std::nullopt : std::optional<std::string>(all.back());
}

std::string CliArgs::RequiredValue(const std::string& option) const {
  std::string text = Value(option).value_or("");
  const bool blank = std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isspace(c);
  });
  if (blank)
    throw UsageError("--" + option + " is required and must not be blank");
  return text;
}

std::optional<Endpoint> CliArgs::EndpointValue(
    const std::string& option) const {
  const auto text = Value(option);
  if (!text)
    return std::nullopt;
  auto address = Endpoint::Parse(*text);
  if (!address)
    throw UsageError("--" + option + ": found " + *text +
                     ", valid: an IP address and a port, such as 127.0.0.1:80");
  return address;
}

std::optional<uint64_t> CliArgs::NumberValue(const std::string& option) const {
  const auto text = Value(option);
  if (!text)
    return std::nullopt;
  const char* end = text->data() + text->size();
  uint64_t n = 0;
  const auto [rest, ec] = std::from_chars(text->data(), end, n);
  if (ec != std::errc() || rest != end)
    throw UsageError("--" + option + ": found " + *text +
                     ", valid: a non-negative integer");
  return n;
}

CliEnvironment ProcessEnvironment() {
  CliEnvironment env;
  env.out = &std::cout;
  env.err = &std::cerr;
  env.open_store = [](const Endpoint& address, Duration limit) {
    return std::make_unique<HttpStore>(address, limit);
  };
  env.fetch = Exchange;
  env.getenv = [](const std::string& name) -> std::optional<std::string> {
    const char* text = std::getenv(name.c_str());
    return text ? std::optional<std::string>(text) : std::nullopt;
  };
  env.unix_ms = UnixMillis;
  env.random = [] {
    std::random_device device;
    return uint64_t{device()} << 32 | device();
  };
  env.wait = [](Duration d) {
    std::this_thread::sleep_for(std::chrono::milliseconds(d.ms()));
  };
  return env;
}

}  // namespace toucanknot
