#include "src/cli/host_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cctype>
#include <functional>
#include <future>

namespace toucanknot {
namespace {

constexpr int kStatusOk = 200;
// Number of hosts queried concurrently, so that an unresponsive one delays few
// others.
constexpr size_t kMaxConcurrentRequests = 32;
// Limit on the part of an error response that is shown.
constexpr size_t kMaxShownBytes = 300;

std::string TextOrEmpty(const boost::json::object& from, const char* key) {
  const auto* value = from.if_contains(key);
  return value && value->is_string() ? std::string(value->get_string()) : "";
}

void ReadConfigStatus(const boost::json::object& from, HostStatus& status) {
  status.version = from.at("version").to_number<uint64_t>();
  status.digest = TextOrEmpty(from, "digest");
  status.age_ms = from.at("age_ms").to_number<int64_t>();
  if (const auto* older = from.if_contains("store_version"))
    status.older_store_version = older->to_number<uint64_t>();
  for (const auto& it : from.at("refused").as_array()) {
    const auto& rejected = it.as_object();
    status.rejected.push_back({rejected.at("version").to_number<uint64_t>(),
                               TextOrEmpty(rejected, "from"),
                               TextOrEmpty(rejected, "reason"),
                               rejected.at("age_ms").to_number<int64_t>()});
  }
}

}  // namespace

std::string FetchFromHost(const CliContext& context,
                          const Endpoint& admin,
                          const std::string& target) {
  HttpClientRequest request{"GET", target};
  if (!context.settings.admin_token.empty()) {
    request.fields.push_back(
        {"Authorization", "Bearer " + context.settings.admin_token});
  }
  const HttpClientResult result =
      context.env.fetch(admin, request, context.settings.timeout);
  if (result.stage != HttpClientStage::kCompleted)
    throw Error(admin.ToString() + ": " + result.error);
  if (result.status != kStatusOk) {
    throw Error(fmt::format("{} responded with status {}: {}", admin.ToString(),
                            result.status,
                            result.body.substr(0, kMaxShownBytes)));
  }
  return result.body;
}

namespace {

HostStatus FetchStatus(const CliContext& context, const Endpoint& admin) {
  HostStatus status;
  status.admin = admin;
  try {
    const boost::json::value response =
        boost::json::parse(FetchFromHost(context, admin, "/status"));
    status.host = TextOrEmpty(response.as_object(), "host");
    status.state = TextOrEmpty(response.as_object(), "state");
    ReadConfigStatus(response.at("config").as_object(), status);
  } catch (const std::exception& e) {
    status.fault = e.what();
  }
  return status;
}

}  // namespace

std::vector<HostStatus> FetchStatuses(const CliContext& context) {
  const std::vector<Endpoint>& admins = context.settings.admins;
  std::vector<HostStatus> all;
  for (size_t first = 0; first < admins.size();
       first += kMaxConcurrentRequests) {
    std::vector<std::future<HostStatus>> pending;
    const size_t end = std::min(admins.size(), first + kMaxConcurrentRequests);
    for (size_t i = first; i < end; ++i) {
      pending.push_back(std::async(std::launch::async, FetchStatus,
                                   std::cref(context), std::cref(admins[i])));
    }
    for (auto& it : pending)
      all.push_back(it.get());
  }
  return all;
}

std::string PercentEncode(const std::string& text) {
  std::string out;
  for (const unsigned char c : text) {
    const bool plain = std::isalnum(c) || c == '-' || c == '_' || c == '.';
    out += plain ? std::string(1, static_cast<char>(c))
                 : fmt::format("%{:02X}", c);
  }
  return out;
}

}  // namespace toucanknot
