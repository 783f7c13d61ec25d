#include "src/load/host_directory.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "src/http/headers.h"

namespace toucanknot {
namespace {

constexpr Duration kLookupLimit{1'000};
constexpr Duration kDeadFor{2'000};

boost::asio::awaitable<ExchangeResult> Ask(ConnectionPool& pool,
                                           Endpoint host,
                                           std::string target) {
  HttpRequest request;
  request.method = "GET";
  request.target = std::move(target);
  request.fields.Add("Host", host.ToString());
  ExchangeOptions options;
  options.deadline = SteadyNow() + kLookupLimit;
  co_return co_await pool.Exchange(std::move(host), std::move(request),
                                   options);
}

}  // namespace

HostDirectory::HostDirectory(ConnectionPool& pool, std::vector<Endpoint> seeds)
    : pool_(pool), seeds_(std::move(seeds)) {}

boost::asio::awaitable<std::vector<Endpoint>> HostDirectory::HostsFor(
    std::string service) {
  const auto it = known_.find(service);
  const bool fresh = it != known_.end() && SteadyNow() < it->second.until;
  if (!fresh && !co_await Refresh(service))
    co_return InOrder(seeds_);
  co_return InOrder(known_[service].hosts);
}

boost::asio::awaitable<bool> HostDirectory::Refresh(std::string service) {
  for (const Endpoint& host : InOrder(seeds_)) {
    const ExchangeResult result =
        co_await Ask(pool_, host, "/v1/lookup?service=" + service);
    if (result.end != AttemptEnd::kAnswered || result.response.status != 200) {
      OnDead(host);
      continue;
    }
    const boost::json::value in = boost::json::parse(result.response.body);
    Known known;
    for (const auto& entry : in.at("hosts").as_array()) {
      const auto address =
          Endpoint::Parse(std::string(entry.at("address").as_string()));
      if (address)
        known.hosts.push_back(*address);
    }
    known.until =
        SteadyNow() + Duration(in.at("lifetime_ms").to_number<int64_t>());
    known_[service] = std::move(known);
    co_return true;
  }
  co_return false;
}

boost::asio::awaitable<HostDirectory::TicketOffer> HostDirectory::NewTicket(
    std::string service) {
  const std::vector<Endpoint> hosts = co_await HostsFor(service);
  for (const Endpoint& host : hosts) {
    const ExchangeResult result = co_await Ask(
        pool_, host, "/v1/lookup?service=" + service + "&ticket=1");
    if (result.end == AttemptEnd::kAnswered && result.response.status == 200) {
      co_return TicketOffer{
          host, std::string(result.response.fields.Get(kTicketHeader))};
    }
    OnDead(host);
  }
  co_return TicketOffer{hosts.front(), ""};
}

void HostDirectory::OnDead(const Endpoint& host) {
  dead_until_[host] = SteadyNow() + kDeadFor;
}

std::vector<Endpoint> HostDirectory::InOrder(
    std::vector<Endpoint> hosts) const {
  const Instant now = SteadyNow();
  std::stable_partition(hosts.begin(), hosts.end(), [&](const Endpoint& it) {
    const auto dead = dead_until_.find(it);
    return dead == dead_until_.end() || dead->second <= now;
  });
  return hosts;
}

}  // namespace toucanknot
