#include "src/cli/host_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cctype>
#include <functional>
#include <future>

namespace toucanknot {
namespace {

constexpr int kOk = 200;
// Hosts, so that one that does not answer delays few others.
constexpr size_t kAskedAtOnce = 32;
// Of a host's refusal.
constexpr size_t kMaxShownBytes = 300;

std::string TextOr(const boost::json::object& from, const char* key) {
  const auto* value = from.if_contains(key);
  return value && value->is_string() ? std::string(value->get_string()) : "";
}

void ReadConfigStatus(const boost::json::object& from, HostStatus& status) {
  status.version = from.at("version").to_number<uint64_t>();
  status.digest = TextOr(from, "digest");
  status.age_ms = from.at("age_ms").to_number<int64_t>();
  if (const auto* older = from.if_contains("store_version"))
    status.older_store_version = older->to_number<uint64_t>();
  for (const auto& it : from.at("refused").as_array()) {
    const auto& refused = it.as_object();
    status.refused.push_back(
        {refused.at("version").to_number<uint64_t>(), TextOr(refused, "from"),
         TextOr(refused, "reason"), refused.at("age_ms").to_number<int64_t>()});
  }
}

}  // namespace

std::string AskHost(const CliContext& context,
                    const Endpoint& admin,
                    const std::string& target) {
  HttpClientRequest call{"GET", target};
  if (!context.settings.admin_token.empty()) {
    call.fields.push_back(
        {"Authorization", "Bearer " + context.settings.admin_token});
  }
  const HttpClientResult outcome =
      context.env.fetch(admin, call, context.settings.timeout);
  if (outcome.stage != HttpClientStage::kCompleted)
    throw Error(admin.ToString() + ": " + outcome.error);
  if (outcome.status != kOk) {
    throw Error(fmt::format("{} answered {}: {}", admin.ToString(),
                            outcome.status,
                            outcome.body.substr(0, kMaxShownBytes)));
  }
  return outcome.body;
}

namespace {

HostStatus AskStatus(const CliContext& context, const Endpoint& admin) {
  HostStatus status;
  status.admin = admin;
  try {
    const boost::json::value answer =
        boost::json::parse(AskHost(context, admin, "/status"));
    status.host = TextOr(answer.as_object(), "host");
    status.state = TextOr(answer.as_object(), "state");
    ReadConfigStatus(answer.at("config").as_object(), status);
  } catch (const std::exception& e) {
    status.fault = e.what();
  }
  return status;
}

}  // namespace

std::vector<HostStatus> AskStatuses(const CliContext& context) {
  const std::vector<Endpoint>& admins = context.settings.admins;
  std::vector<HostStatus> all;
  for (size_t first = 0; first < admins.size(); first += kAskedAtOnce) {
    std::vector<std::future<HostStatus>> asked;
    const size_t end = std::min(admins.size(), first + kAskedAtOnce);
    for (size_t i = first; i < end; ++i) {
      asked.push_back(std::async(std::launch::async, AskStatus,
                                 std::cref(context), std::cref(admins[i])));
    }
    for (auto& it : asked)
      all.push_back(it.get());
  }
  return all;
}

std::string QueryEncoded(const std::string& text) {
  std::string out;
  for (const unsigned char c : text) {
    const bool plain = std::isalnum(c) || c == '-' || c == '_' || c == '.';
    out += plain ? std::string(1, static_cast<char>(c))
                 : fmt::format("%{:02X}", c);
  }
  return out;
}

}  // namespace toucanknot
