#include "include/steering/naive_dispatcher.h"

#include <boost/json.hpp>
#include <boost/unordered/unordered_flat_map.hpp>
#include <utility>

namespace toucanknot {
namespace {

class NaiveDispatcher : public Dispatcher {
 public:
  NaiveDispatcher(ServiceId service, HostId own)
      : service_(std::move(service)), own_(std::move(own)) {}

  DispatchDecision Offer(const DispatchRequest& request, Instant) override {
    if (servers_.empty()) {
      return {.request_id = request.id,
              .step = Step::kRefuse,
              .refusal = Refusal::kNoServer};
    }
    const ServerId& server = servers_[next_++ % servers_.size()];
    ++in_flight_[server];
    return {.request_id = request.id, .step = Step::kSend, .server = server};
  }

  void Withdraw(uint64_t, Instant) override {}

  void Finish(const AttemptResult& result, Instant) override {
    const auto it = in_flight_.find(result.server);
    if (it != in_flight_.end() && it->second > 0)
      --it->second;
  }

  std::vector<DispatchDecision> Advance(Instant) override { return {}; }
  Instant NextWake() const override { return Instant::Never(); }
  void OnLoadReport(const LoadReport&, Instant) override {}
  void OnPeerLoad(const PeerLoad&, Instant) override {}
  void OnHosts(const std::vector<HostId>&, Instant) override {}

  void OnConfig(const FleetConfigPtr& config, int64_t, Instant) override {
    servers_.clear();
    const Service* service = config->FindService(service_);
    if (!service)
      return;
    for (const BackendServer& it : service->servers)
      servers_.push_back(it.id);
  }

  PeerLoad OwnLoad() const override {
    PeerLoad load{.host = own_};
    for (const ServerId& it : servers_) {
      const auto found = in_flight_.find(it);
      if (found != in_flight_.end() && found->second > 0)
        load.in_flight.push_back({it, found->second});
    }
    return load;
  }

  std::string Explain(Instant) const override {
    boost::json::array servers;
    for (const PeerLoad::InFlight& it : OwnLoad().in_flight) {
      servers.push_back(boost::json::object{{"server", it.server.str()},
                                            {"in_flight", it.requests}});
    }
    return boost::json::serialize(
        boost::json::object{{"service", service_.str()},
                            {"policy", "naive"},
                            {"servers", std::move(servers)}});
  }

 private:
  const ServiceId service_;
  const HostId own_;
  std::vector<ServerId> servers_;
  boost::unordered_flat_map<ServerId, int, std::hash<ServerId>> in_flight_;
  size_t next_ = 0;
};

}  // namespace

std::unique_ptr<Dispatcher> MakeNaiveDispatcher(ServiceId service, HostId own) {
  return std::make_unique<NaiveDispatcher>(std::move(service), std::move(own));
}

}  // namespace toucanknot
