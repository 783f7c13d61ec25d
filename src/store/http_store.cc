#include "src/store/http_store.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <cctype>
#include <charconv>
#include <utility>

namespace toucanknot {
namespace {

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kPreconditionFailed = 412;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

std::string UrlEncoded(const std::string& text) {
  std::string out;
  for (const unsigned char c : text) {
    const bool plain = std::isalnum(c) || c == '-' || c == '_' || c == '.' ||
                       c == '~' || c == '/';
    out += plain ? std::string(1, static_cast<char>(c))
                 : fmt::format("%{:02X}", c);
  }
  return out;
}

std::string KeyTarget(const std::string& key) {
  return "/v1/kv/" + UrlEncoded(key);
}

std::string Describe(const HttpClientResult& result) {
  if (result.stage == HttpClientStage::kCompleted)
    return fmt::format("the store responded with status {}", result.status);
  return "no response from the store: " + result.error;
}

// Calls `read` with the body parsed as JSON. Throws StoreUnavailableError when
// the body does not have the expected structure.
template <typename Fn>
auto FromJson(const HttpClientResult& result, Fn read) {
  try {
    return read(boost::json::parse(result.body));
  } catch (const std::exception& e) {
    throw StoreUnavailableError(
        std::string("the store's response is malformed: ") + e.what());
  }
}

std::string TextOf(const boost::json::value& value) {
  return std::string(value.as_string());
}

}  // namespace

HttpStore::HttpStore(Endpoint address, Duration limit)
    : address_(std::move(address)), limit_(limit) {}

HttpClientResult HttpStore::Read(const std::string& target,
                                 Duration limit) const {
  HttpClientResult result = Exchange(address_, {"GET", target}, limit);
  const bool expected_status = result.status == kOk ||
                               result.status == kNotFound ||
                               result.status == kNotModified;
  if (result.stage != HttpClientStage::kCompleted || !expected_status)
    throw StoreUnavailableError(Describe(result));
  return result;
}

HttpClientResult HttpStore::Write(const HttpClientRequest& request) const {
  HttpClientResult result = Exchange(address_, request, limit_);
  const bool lost =
      result.stage == HttpClientStage::kSent ||
      (result.status >= kServerError && result.status != kUnavailable);
  if (lost)
    throw StoreOutcomeUnknownError(Describe(result));
  const bool expected_status = result.status == kOk ||
                               result.status == kConflict ||
                               result.status == kPreconditionFailed;
  if (!expected_status)
    throw StoreUnavailableError(Describe(result));
  return result;
}

uint64_t HttpStore::RevisionOf(const HttpClientResult& result) const {
  const std::string text = result.Field("Revision");
  const char* end = text.data() + text.size();
  uint64_t revision = 0;
  const auto [rest, ec] = std::from_chars(text.data(), end, revision);
  if (ec != std::errc() || rest != end)
    throw StoreUnavailableError("the store's response has no revision");
  return revision;
}

StoreValue HttpStore::ValueOf(HttpClientResult result) const {
  const uint64_t revision = RevisionOf(result);
  return {std::move(result.body), revision};
}

std::optional<StoreValue> HttpStore::Get(const std::string& key) {
  HttpClientResult result = Read(KeyTarget(key), limit_);
  if (result.status == kNotFound)
    return std::nullopt;
  return ValueOf(std::move(result));
}

SwapResult HttpStore::CompareAndSwap(const std::string& key,
                                     uint64_t expected,
                                     const std::string& data) {
  const HttpClientResult result =
      Write({"PUT",
             KeyTarget(key),
             {{"If-Revision", std::to_string(expected)}},
             data});
  try {
    return {result.status == kOk, RevisionOf(result)};
  } catch (const StoreUnavailableError& e) {
    throw StoreOutcomeUnknownError(e.what());
  }
}

std::optional<StoreValue> HttpStore::Watch(const std::string& key,
                                           uint64_t seen,
                                           Duration limit) {
  HttpClientResult result = Read(fmt::format("{}?watch={}&timeout_ms={}",
                                             KeyTarget(key), seen, limit.ms()),
                                 limit_ + limit);
  if (result.status == kNotModified)
    return std::nullopt;
  if (result.status == kNotFound)
    return StoreValue();
  return ValueOf(std::move(result));
}

std::vector<std::string> HttpStore::List(const std::string& prefix) {
  const HttpClientResult result =
      Read("/v1/keys?prefix=" + UrlEncoded(prefix), limit_);
  return FromJson(result, [](const boost::json::value& value) {
    std::vector<std::string> keys;
    for (const auto& it : value.as_array())
      keys.push_back(TextOf(it));
    return keys;
  });
}

LeaseResult HttpStore::AcquireLease(const std::string& key,
                                    const std::string& holder,
                                    Duration ttl) {
  const std::string body = boost::json::serialize(boost::json::object{
      {"key", key}, {"holder", holder}, {"ttl_ms", ttl.ms()}});
  const HttpClientResult result = Write(
      {"POST", "/v1/leases", {{"Content-Type", "application/json"}}, body});
  return FromJson(result, [&](const boost::json::value& value) {
    if (result.status != kOk)
      return LeaseResult{false, 0, TextOf(value.at("holder"))};
    return LeaseResult{true, value.at("epoch").to_number<uint64_t>(), holder};
  });
}

std::vector<PlatformHost> HttpStore::Hosts() {
  const HttpClientResult result = Read("/v1/hosts", limit_);
  return FromJson(result, [](const boost::json::value& value) {
    std::vector<PlatformHost> hosts;
    for (const auto& it : value.as_array())
      hosts.push_back({TextOf(it.at("id")), it.at("leaving").as_bool()});
    return hosts;
  });
}

}  // namespace toucanknot
