#include "src/load/host_directory.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "src/http/headers.h"

namespace toucanknot {
namespace {

constexpr Duration kLookupTimeout{1'000};
constexpr Duration kUnresponsiveTime{2'000};

boost::asio::awaitable<ExchangeResult> Fetch(ConnectionPool& pool,
                                             Endpoint host,
                                             std::string target) {
  HttpRequest request;
  request.method = "GET";
  request.target = std::move(target);
  request.fields.Add("Host", host.ToString());
  ExchangeOptions options;
  options.deadline = SteadyNow() + kLookupTimeout;
  co_return co_await pool.Exchange(std::move(host), std::move(request),
                                   options);
}

}  // namespace

HostDirectory::HostDirectory(ConnectionPool& pool, std::vector<Endpoint> seeds)
    : pool_(pool), seeds_(std::move(seeds)) {}

boost::asio::awaitable<std::vector<Endpoint>> HostDirectory::HostsFor(
    std::string service) {
  const auto it = cache_.find(service);
  const bool is_valid = it != cache_.end() && SteadyNow() < it->second.until;
  if (!is_valid && !co_await Refresh(service))
    co_return UnresponsiveLast(seeds_);
  co_return UnresponsiveLast(cache_[service].hosts);
}

boost::asio::awaitable<bool> HostDirectory::Refresh(std::string service) {
  for (const Endpoint& host : UnresponsiveLast(seeds_)) {
    const ExchangeResult result =
        co_await Fetch(pool_, host, "/v1/lookup?service=" + service);
    if (result.end != AttemptEnd::kAnswered || result.response.status != 200) {
      MarkUnresponsive(host);
      continue;
    }
    const boost::json::value in = boost::json::parse(result.response.body);
    CachedHosts cached;
    for (const auto& entry : in.at("hosts").as_array()) {
      const auto address =
          Endpoint::Parse(std::string(entry.at("address").as_string()));
      if (address)
        cached.hosts.push_back(*address);
    }
    cached.until =
        SteadyNow() + Duration(in.at("lifetime_ms").to_number<int64_t>());
    cache_[service] = std::move(cached);
    co_return true;
  }
  co_return false;
}

boost::asio::awaitable<HostDirectory::IssuedTicket> HostDirectory::NewTicket(
    std::string service) {
  const std::vector<Endpoint> hosts = co_await HostsFor(service);
  for (const Endpoint& host : hosts) {
    const ExchangeResult result = co_await Fetch(
        pool_, host, "/v1/lookup?service=" + service + "&ticket=1");
    if (result.end == AttemptEnd::kAnswered && result.response.status == 200) {
      co_return IssuedTicket{
          host, std::string(result.response.fields.Get(kTicketHeader))};
    }
    MarkUnresponsive(host);
  }
  co_return IssuedTicket{hosts.front(), ""};
}

void HostDirectory::MarkUnresponsive(const Endpoint& host) {
  unresponsive_until_[host] = SteadyNow() + kUnresponsiveTime;
}

std::vector<Endpoint> HostDirectory::UnresponsiveLast(
    std::vector<Endpoint> hosts) const {
  const Instant now = SteadyNow();
  std::stable_partition(hosts.begin(), hosts.end(), [&](const Endpoint& it) {
    const auto entry = unresponsive_until_.find(it);
    return entry == unresponsive_until_.end() || entry->second <= now;
  });
  return hosts;
}

}  // namespace toucanknot
