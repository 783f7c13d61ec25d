#ifndef TESTS_STEERING_SINGLE_HOST_SIMULATION_H_
#define TESTS_STEERING_SINGLE_HOST_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "include/steering/dispatcher.h"

namespace toucanknot {

// Simulates one entry host and its backend servers, which have slots and a
// queue, in steps of a millisecond. Every request takes kWorkMs; callers give
// up after kDeadline and may retry.
class SingleHostSimulation {
 public:
  static constexpr int kWorkMs = 20;
  static constexpr Duration kDeadline{400};
  static constexpr int kRetryDelayMs = 50;
  static constexpr int kMaxRetries = 5;

  SingleHostSimulation(std::unique_ptr<Dispatcher> dispatcher,
                       const FleetConfigPtr& config,
                       bool callers_retry)
      : dispatcher_(std::move(dispatcher)), callers_retry_(callers_retry) {
    for (const BackendServer& it : config->services[0].servers)
      servers_[it.id].config = it;
    dispatcher_->OnConfig(config, 0, now());
  }

  // Runs for `ms` milliseconds with `per_ms` new requests in each.
  void Run(int ms, double per_ms) {
    for (int i = 0; i < ms; ++i) {
      ++ms_;
      fractional_requests_ += per_ms;
      for (; fractional_requests_ >= 1; --fractional_requests_)
        SendRequest(0);
      const auto range = retries_.equal_range(ms_);
      std::vector<int> again;
      for (auto it = range.first; it != range.second; ++it)
        again.push_back(it->second);
      retries_.erase(range.first, range.second);
      for (const int retries : again)
        SendRequest(retries);
      FinishDone();
      ExpireRequests();
      AdvanceHost();
    }
  }

  void Leave(const ServerId& server) {
    left_ = server;
    dispatcher_->OnLoadReport({.server = server, .leaving = true}, now());
  }

  int64_t answered() const { return answered_; }
  int64_t refused() const { return refused_; }
  int64_t sent_to_left() const { return sent_to_left_; }
  int64_t over_connections() const { return over_connections_; }
  int64_t over_slots() const { return over_slots_; }
  size_t open() const { return requests_.size(); }

 private:
  struct CallerRequest {
    int64_t deadline_ms = 0;
    int retries = 0;
    bool sent = false;
    ServerId server;
  };
  struct Server {
    BackendServer config;
    // Request id and the time it completes; the first `slots` entries run, the
    // others wait and have time 0.
    std::deque<std::pair<uint64_t, int64_t>> work;
  };

  Instant now() const { return Instant(ms_); }

  void SendRequest(int retries) {
    const uint64_t id = next_++;
    requests_[id] = {.deadline_ms = ms_ + kDeadline.ms(), .retries = retries};
    Apply(dispatcher_->Offer({.id = id, .deadline = now() + kDeadline}, now()));
  }

  void Apply(const DispatchDecision& decision) {
    CallerRequest& request = requests_.at(decision.request_id);
    if (decision.step == Step::kRefuse) {
      ++refused_;
      EndUnanswered(decision.request_id);
    } else if (decision.step == Step::kSend) {
      Server& server = servers_.at(decision.server);
      const auto load = static_cast<int>(server.work.size());
      over_connections_ += load >= server.config.max_connections ? 1 : 0;
      over_slots_ += load >= server.config.slots ? 1 : 0;
      sent_to_left_ += decision.server == left_ ? 1 : 0;
      request.sent = true;
      request.server = decision.server;
      const bool runs = load < server.config.slots;
      server.work.emplace_back(decision.request_id, runs ? ms_ + kWorkMs : 0);
    }
  }

  void Remove(Server& server, uint64_t id) {
    std::erase_if(server.work, [&](const auto& it) { return it.first == id; });
    const auto slots = static_cast<size_t>(server.config.slots);
    for (size_t i = 0; i < std::min(slots, server.work.size()); ++i) {
      if (server.work[i].second == 0)
        server.work[i].second = ms_ + kWorkMs;
    }
  }

  void Finish(uint64_t id, AttemptEnd end) {
    const ServerId server = requests_.at(id).server;
    Remove(servers_.at(server), id);
    dispatcher_->Finish({.request_id = id,
                         .server = server,
                         .end = end,
                         .took = Duration(kWorkMs)},
                        now());
  }

  void FinishDone() {
    std::vector<uint64_t> done;
    for (const auto& [id, server] : servers_) {
      for (const auto& [request, at] : server.work) {
        if (at != 0 && at <= ms_)
          done.push_back(request);
      }
    }
    for (const uint64_t id : done) {
      Finish(id, AttemptEnd::kAnswered);
      ++answered_;
      requests_.erase(id);
    }
  }

  void ExpireRequests() {
    std::vector<uint64_t> late;
    for (const auto& [id, request] : requests_) {
      if (request.deadline_ms <= ms_)
        late.push_back(id);
    }
    for (const uint64_t id : late) {
      if (requests_.at(id).sent)
        Finish(id, AttemptEnd::kTimedOut);
      else
        dispatcher_->Withdraw(id, now());
      EndUnanswered(id);
    }
  }

  // Ends a request without a response; the caller may retry.
  void EndUnanswered(uint64_t id) {
    const int retries = requests_.at(id).retries;
    requests_.erase(id);
    if (callers_retry_ && retries < kMaxRetries)
      retries_.emplace(ms_ + kRetryDelayMs, retries + 1);
  }

  void AdvanceHost() {
    for (const DispatchDecision& it : dispatcher_->Advance(now()))
      Apply(it);
  }

  std::unique_ptr<Dispatcher> dispatcher_;
  const bool callers_retry_;
  int64_t ms_ = 1'000;
  double fractional_requests_ = 0;
  uint64_t next_ = 1;
  std::map<uint64_t, CallerRequest> requests_;
  std::map<ServerId, Server> servers_;
  std::multimap<int64_t, int> retries_;
  ServerId left_;
  int64_t answered_ = 0;
  int64_t refused_ = 0;
  int64_t sent_to_left_ = 0;
  int64_t over_connections_ = 0;
  int64_t over_slots_ = 0;
};

}  // namespace toucanknot

#endif  // TESTS_STEERING_SINGLE_HOST_SIMULATION_H_
