#ifndef BENCH_STEERING_FAKE_SERVER_H_
#define BENCH_STEERING_FAKE_SERVER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

#include "bench/steering/event_queue.h"
#include "include/config/fleet_config.h"
#include "include/steering/dispatcher.h"

namespace toucanknot::bench {

// Simulates a backend server: slots with one queue in front of them.
class FakeServer {
 public:
  // The server's behaviour.
  struct Traits {
    // Factor on the service time.
    double slowness = 1;
    // Responds to every request at once with an error.
    bool fails = false;
    // Always reports that it is idle and healthy.
    bool misleads = false;
    // When the server started cold; negative if it is warm.
    int64_t cold_since_us = -1;
  };
  using Done = std::function<void(AttemptEnd)>;

  FakeServer(EventQueue& events, const BackendServer& config)
      : events_(events), config_(config) {}

  const BackendServer& config() const { return config_; }
  Traits& traits() { return traits_; }
  bool alive() const { return alive_; }
  // Stops the server; its requests are lost without a response.
  void Kill();
  void Restart(bool cold);

  // Accepts a request; returns the number of the attempt.
  uint64_t OnRequest(int64_t work_us, Done done);
  // The entry host cancelled the attempt.
  void Cancel(uint64_t attempt);

  LoadReport Report() const;
  int running() const { return static_cast<int>(running_.size()); }
  int load() const { return running() + static_cast<int>(queue_.size()); }

  // Requests that had to wait at the server, and requests above its connection
  // limit.
  int64_t queued() const { return queued_; }
  int64_t over_connections() const { return over_connections_; }
  // When the last request arrived.
  int64_t last_arrival_us() const { return last_arrival_us_; }
  // Slot-microseconds in use so far.
  double BusySlotUs();
  bool leaving = false;

 private:
  struct Attempt {
    uint64_t id = 0;
    int64_t work_us = 0;
    Done done;
  };

  void Start(Attempt attempt);
  void StartNext();
  void AddBusyTime();
  double Slowness() const;

  EventQueue& events_;
  const BackendServer config_;
  Traits traits_;
  bool alive_ = true;
  uint64_t next_ = 1;
  std::deque<Attempt> queue_;
  std::map<uint64_t, Done> running_;
  int64_t queued_ = 0;
  int64_t over_connections_ = 0;
  int64_t last_arrival_us_ = -1;
  int64_t busy_since_us_ = 0;
  double busy_slot_us_ = 0;
};

}  // namespace toucanknot::bench

#endif  // BENCH_STEERING_FAKE_SERVER_H_
