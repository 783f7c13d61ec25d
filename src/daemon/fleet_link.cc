#include "src/daemon/fleet_link.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <map>
#include <set>
#include <utility>

#include "include/store/config_reader.h"
#include "include/store/root_value.h"
#include "src/http/one_shot.h"

namespace toucanknot {
namespace {

// A watch, a host list read and a part read may block at the same time.
constexpr size_t kStoreThreads = 3;
constexpr Duration kMinLoopDelay{2};
constexpr Duration kMaxLoopDelay{50};
constexpr Duration kSeedRequestInterval{500};
constexpr char kSeedPrefix[] = "seed-";
// Long enough to distinguish two configurations with the same version.
constexpr size_t kStampDigestChars = 16;
constexpr uint64_t kRotationSalt = 0;

PeerTransportOptions TransportOptions(const HostSettings& settings,
                                      const PeerSender& self,
                                      std::shared_ptr<const FleetKeys> keys) {
  PeerTransportOptions options;
  options.self = self;
  options.listen = settings.peers;
  options.keys = std::move(keys);
  return options;
}

std::optional<ConfigStamp> ParseStamp(const std::string& root_text) {
  try {
    const RootValue root = ReadRoot(root_text);
    return ConfigStamp{root.version, root.digest.substr(0, kStampDigestChars)};
  } catch (const Error&) {
    return std::nullopt;
  }
}

std::map<HostId, Endpoint> SeedPeers(const std::vector<Endpoint>& seeds) {
  std::map<HostId, Endpoint> peers;
  for (size_t i = 0; i < seeds.size(); ++i)
    peers[HostId(kSeedPrefix + std::to_string(i))] = seeds[i];
  return peers;
}

}  // namespace

FleetLink::FleetLink(WorkerPool& workers,
                     const HostSettings& settings,
                     const PeerSender& self,
                     std::shared_ptr<const FleetKeys> keys,
                     std::shared_ptr<Store> store,
                     Hooks hooks)
    : workers_(workers),
      zone_(settings.zone),
      seeds_(settings.seeds),
      store_(std::move(store)),
      hooks_(std::move(hooks)),
      transport_(workers.loop(0),
                 TransportOptions(settings, self, std::move(keys))),
      store_threads_(kStoreThreads) {
  ConfigDisseminationOptions dissemination;
  dissemination.watch_limit = settings.store_watch;
  agent_ =
      FleetAgent::Builder()
          .SetSelf(self, settings.zone)
          .SetDisseminationOptions(dissemination)
          .SetHostListBackoff({settings.host_list_interval})
          .SetHooks(ParseStamp,
                    [this](const ConfigStamp& stamp, const std::string& text) {
                      return AcceptRoot(stamp, text);
                    })
          .SetSeed(self.incarnation)
          .Build();
}

FleetLink::~FleetLink() = default;

void FleetLink::WaitForStoreCalls() {
  store_threads_.join();
}

void FleetLink::Disconnect() {
  std::promise<void> stopped;
  transport_.Stop([&stopped] { stopped.set_value(); });
  stopped.get_future().wait();
}

template <typename Fn>
auto FleetLink::WithAgent(Fn fn) const {
  const std::lock_guard lock(mutex_);
  return fn(*agent_);
}

void FleetLink::Start() {
  transport_.Start([this](const PeerSender& from, const PeerMessage& message) {
    OnMessage(from, message);
  });
  if (!seeds_.empty())
    transport_.SetPeers(SeedPeers(seeds_));
  boost::asio::co_spawn(workers_.loop(0), Loop(), boost::asio::detached);
}

void FleetLink::SetConfig(const FleetConfigPtr& config) {
  auto roster = std::make_shared<const Roster>(*config);
  std::map<HostId, Endpoint> peers;
  for (const EntryHost& it : config->hosts)
    peers[it.id] = it.peer_address;
  transport_.SetPeers(std::move(peers));
  const std::lock_guard lock(roster_mutex_);
  next_roster_ = std::move(roster);
}

void FleetLink::AnnounceLeaving() {
  Execute(WithAgent([](FleetAgent& it) {
    it.membership().Leave(SteadyNow());
    return it.Tick(SteadyNow());
  }));
}

void FleetLink::AnnounceStopped() {
  Execute(WithAgent([](FleetAgent& it) {
    it.membership().Stop(SteadyNow());
    return it.Tick(SteadyNow());
  }));
}

FleetLink::Coroutine FleetLink::Loop() {
  for (;;) {
    const Instant now = SteadyNow();
    RosterPtr roster;
    {
      const std::lock_guard lock(roster_mutex_);
      roster = std::move(next_roster_);
      next_roster_ = nullptr;
    }
    bool view_changed = false;
    Duration wait;
    FleetActions actions = WithAgent([&](FleetAgent& it) {
      if (roster) {
        it.OnRoster(roster, now);
        it.membership().Ready(now);
      }
      FleetActions out = it.Tick(now);
      const uint64_t view_version = it.membership().view_version();
      view_changed = view_version != last_view_version_;
      last_view_version_ = view_version;
      wait = it.NextWake() - now;
      return out;
    });
    Execute(std::move(actions));
    if (view_changed)
      hooks_.on_view_changed();
    RequestConfigFromSeeds(now);
    co_await SleepFor(std::clamp(wait, kMinLoopDelay, kMaxLoopDelay));
  }
}

void FleetLink::RequestConfigFromSeeds(Instant now) {
  if (seeds_.empty() || now < next_seed_request_)
    return;
  const bool known = WithAgent(
      [](FleetAgent& it) { return it.dissemination().stamp().version > 0; });
  if (known)
    return;
  next_seed_request_ = now + kSeedRequestInterval;
  OutgoingMessage out;
  for (const auto& [id, endpoint] : SeedPeers(seeds_))
    out.to.push_back(id);
  out.message = ConfigAsk();
  transport_.Send(out);
}

void FleetLink::Execute(FleetActions actions) {
  for (const OutgoingMessage& it : actions.messages)
    transport_.Send(it);
  if (actions.watch) {
    boost::asio::post(store_threads_,
                      [this, request = *actions.watch] { WatchRoot(request); });
  }
  if (actions.list_hosts)
    boost::asio::post(store_threads_, [this] { ReadHostList(); });
  for (const std::string& it : actions.part_reads)
    boost::asio::post(store_threads_, [this, it] { ReadStorePart(it); });
}

void FleetLink::OnMessage(const PeerSender& from, const PeerMessage& message) {
  WithAgent([&](FleetAgent& it) {
    it.OnMessage(from, message, SteadyNow());
    return true;
  });
  hooks_.on_message(from, message);
}

bool FleetLink::AcceptRoot(const ConfigStamp& stamp,
                           const std::string& root_text) {
  RootValue root;
  try {
    root = ReadRoot(root_text);
  } catch (const Error& e) {
    spdlog::warn("config rejected version={} error=\"{}\"", stamp.version,
                 e.what());
    return false;
  }
  ConfigCandidate candidate;
  candidate.version = root.version;
  candidate.digest = root.digest;
  candidate.client_parts = root.client_parts;
  candidate.text = root.config_text;
  if (root.config_parts.empty())
    return hooks_.on_config(candidate, "fleet");
  // The text is split into parts that are fetched from hosts of the zone or
  // from the store; it is validated once all of them have been received.
  pending_candidate_ = std::move(candidate);
  pending_parts_ = root.config_parts;
  agent_->parts().SetWanted(pending_parts_, SteadyNow());
  return true;
}

void FleetLink::WatchRoot(WatchRequest request) {
  try {
    std::optional<StoreValue> value;
    if (request.limit == Duration(0))
      value = store_->Get(kRootKey);
    else
      value = store_->Watch(kRootKey, request.seen_revision, request.limit);
    WithAgent([&](FleetAgent& it) {
      if (value)
        it.OnWatchValue(value->revision, value->data, SteadyNow());
      else
        it.OnWatchTimeout(SteadyNow());
      return true;
    });
  } catch (const Error&) {
    WithAgent([](FleetAgent& it) {
      it.OnWatchFailure(SteadyNow());
      return true;
    });
  }
}

void FleetLink::ReadHostList() {
  try {
    const std::vector<PlatformHost> hosts = store_->Hosts();
    std::vector<HostListEntry> list;
    list.reserve(hosts.size());
    for (const PlatformHost& it : hosts)
      list.push_back({HostId(it.id), it.leaving});
    WithAgent([&](FleetAgent& it) {
      it.OnHostList(list, SteadyNow());
      return true;
    });
    hooks_.on_hosts(hosts);
  } catch (const Error&) {
    WithAgent([](FleetAgent& it) {
      it.OnHostListFailure(SteadyNow());
      return true;
    });
  }
}

void FleetLink::ReadStorePart(const std::string& name) {
  std::optional<std::string> bytes;
  try {
    bytes = ReadPart(*store_, name);
  } catch (const Error&) {
    // Leave `bytes` empty: the part may still be received from another host.
  }
  const std::lock_guard lock(mutex_);
  agent_->OnStorePart(name, bytes, SteadyNow());
  if (!pending_candidate_ || !agent_->parts().IsComplete())
    return;
  ConfigCandidate candidate = std::move(*pending_candidate_);
  pending_candidate_.reset();
  for (const std::string& it : pending_parts_)
    candidate.text += agent_->parts().fetched().at(it);
  hooks_.on_config(candidate, "fleet");
}

std::vector<EntryCandidate> FleetLink::EntryCandidates() const {
  return WithAgent([this](FleetAgent& it) {
    return it.membership().CandidatesFor(zone_, kRotationSalt, SteadyNow());
  });
}

std::vector<HostId> FleetLink::LiveHostsInRegion() const {
  return WithAgent([this](FleetAgent& it) {
    std::vector<HostId> live;
    const RosterPtr& roster = it.membership().roster();
    const Roster::Zone* own = roster ? roster->FindZone(zone_) : nullptr;
    if (!own)
      return live;
    for (const Roster::Zone& zone : roster->zones()) {
      if (zone.region != own->region)
        continue;
      for (HostId& host : it.membership().LiveHosts(zone.id, SteadyNow()))
        live.push_back(std::move(host));
    }
    return live;
  });
}

std::vector<HostId> FleetLink::OtherHosts() const {
  return WithAgent([](FleetAgent& it) {
    std::vector<HostId> other_hosts;
    const RosterPtr& roster = it.membership().roster();
    if (!roster)
      return other_hosts;
    for (const Roster::Zone& zone : roster->zones()) {
      for (const HostId& host : zone.hosts) {
        if (host != it.membership().self().host)
          other_hosts.push_back(host);
      }
    }
    return other_hosts;
  });
}

std::vector<RegionId> FleetLink::LiveRegions() const {
  return WithAgent([](FleetAgent& it) {
    std::set<RegionId> regions;
    const RosterPtr& roster = it.membership().roster();
    if (roster) {
      for (const Roster::Zone& zone : roster->zones()) {
        if (!it.membership().LiveHosts(zone.id, SteadyNow()).empty())
          regions.insert(zone.region);
      }
    }
    return std::vector<RegionId>(regions.begin(), regions.end());
  });
}

FleetLink::Stats FleetLink::stats() const {
  Stats stats = WithAgent([](FleetAgent& it) {
    Stats out;
    out.store_calls = it.store_calls();
    out.reader = it.dissemination().is_reader();
    out.store_up = !it.dissemination().store_failing();
    return out;
  });
  stats.transport = transport_.stats();
  return stats;
}

}  // namespace toucanknot
