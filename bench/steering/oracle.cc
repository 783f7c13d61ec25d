#include "bench/steering/oracle.h"

#include <algorithm>

namespace toucanknot::bench {
namespace {

constexpr int64_t kUsPerMs = 1'000;
constexpr int64_t kSampleUs = 100 * kUsPerMs;
constexpr int64_t kBetweenRegionsUs = 20 * kUsPerMs;
constexpr size_t kMaxWaiting = 512;
constexpr double kForeverUs = 1e15;
constexpr double kColdSlowness = 3;
constexpr int64_t kWarmupUs = 10'000'000;
constexpr size_t kMisleadingStep = 10;

}  // namespace

Oracle::Oracle(const Deployment& deployment,
               const Scenario& scenario,
               uint64_t seed)
    : deployment_(deployment),
      scenario_(scenario),
      arrivals_(MakeArrivals(deployment, scenario, seed)) {
  const size_t services = deployment.traffic.size();
  queues_.resize(services);
  capacity_.resize(services);
  for (size_t i = 0; i < services; ++i) {
    measures_.services.push_back({.service = deployment.traffic[i].service});
    MakeSlots(i);
  }
}

void Oracle::MakeSlots(size_t service) {
  const FleetConfig& config = *deployment_.config;
  const bool misleading = scenario_.fault == Fault::kMisleading;
  size_t index = 0;
  for (const BackendServer& it : config.services[service].servers) {
    Slot slot;
    for (size_t r = 0; r < config.regions.size(); ++r) {
      const auto& zones = config.regions[r].zones;
      const auto zone = std::find(zones.begin(), zones.end(), it.zone);
      if (zone == zones.end())
        continue;
      slot.region = r;
      slot.zone = zone - zones.begin();
    }
    if (misleading && index % kMisleadingStep == 0)
      slot.slowness = 10;
    slot.fails = misleading && index % kMisleadingStep == 1;
    slot.cold = scenario_.fault == Fault::kCold && slot.region == 0;
    queues_[service].slots.insert(queues_[service].slots.end(), it.slots, slot);
    ++index;
  }
}

double Oracle::Slowness(const Slot& slot) const {
  if (!slot.cold)
    return slot.slowness;
  const auto age = static_cast<double>(events_.now_us() - slot.warm_from_us);
  return slot.slowness *
         (1 + (kColdSlowness - 1) * std::max(0.0, 1 - age / kWarmupUs));
}

Oracle::Slot* Oracle::BestSlot(Queue& queue, size_t region) {
  Slot* best = nullptr;
  double best_cost = 0;
  for (Slot& it : queue.slots) {
    if (it.busy || !it.alive || it.fails)
      continue;
    const double cost = Slowness(it) + (it.region == region ? 0 : 1);
    if (!best || cost < best_cost) {
      best = &it;
      best_cost = cost;
    }
  }
  return best;
}

void Oracle::Start(size_t service, const Waiting& request, Slot& slot) {
  slot.busy = true;
  const bool other_region = slot.region != request.arrival.region;
  const int64_t round_trip_us = other_region ? 2 * kBetweenRegionsUs : 0;
  const auto work_us = static_cast<int64_t>(
      static_cast<double>(request.arrival.work_us) * Slowness(slot));
  events_.ScheduleAfter(
      work_us, [this, service, request, &slot, incarnation = slot.incarnation,
                round_trip_us] {
        if (slot.incarnation != incarnation) {
          // The running request was lost with the slot.
          queues_[service].waiting.push_front(request);
          StartWaiting(service);
          return;
        }
        slot.busy = false;
        const int64_t done_us = events_.now_us() + round_trip_us;
        ServiceMeasures& m = measures_.services[service];
        const bool in_time = done_us <= request.deadline_us;
        const bool in_window =
            done_us >= kWarmMs * kUsPerMs && done_us < kRunMs * kUsPerMs;
        m.answered_in_window += in_time && in_window ? 1 : 0;
        if (request.arrival.at_us >= kWarmMs * kUsPerMs) {
          ++(in_time ? m.answered : m.failed);
          if (in_time)
            m.latencies_us.push_back(done_us - request.arrival.at_us);
        }
        StartWaiting(service);
      });
}

double Oracle::WaitUs(size_t service, size_t region, size_t ahead) const {
  double slots = 0;
  for (const Slot& it : queues_[service].slots) {
    if (it.alive && !it.fails && it.region == region)
      slots += 1 / Slowness(it);
  }
  if (slots == 0)
    return kForeverUs;
  return static_cast<double>(ahead + 1) * deployment_.traffic[service].mean_ms *
         kUsPerMs / slots;
}

void Oracle::StartWaiting(size_t service) {
  Queue& queue = queues_[service];
  std::vector<size_t> ahead(deployment_.config->regions.size());
  for (size_t i = 0; i < queue.waiting.size();) {
    const Waiting request = queue.waiting[i];
    const size_t region = request.arrival.region;
    const bool late = request.deadline_us <= events_.now_us();
    Slot* slot = late ? nullptr : BestSlot(queue, region);
    if (!late && !slot)
      return;
    const bool is_worthwhile = slot && (slot->region == region ||
                                        WaitUs(service, region, ahead[region]) >
                                            2 * kBetweenRegionsUs);
    if (!late && !is_worthwhile) {
      ++ahead[region];
      ++i;
      continue;
    }
    queue.waiting.erase(queue.waiting.begin() + static_cast<int64_t>(i));
    if (slot)
      Start(service, request, *slot);
  }
}

void Oracle::StartNextArrival() {
  if (next_ == arrivals_.size())
    return;
  const Arrival arrival = arrivals_[next_++];
  events_.ScheduleAt(arrival.at_us, [this, arrival] {
    const int64_t deadline_us =
        deployment_.traffic[arrival.service].deadline.ms() * kUsPerMs;
    ServiceMeasures& m = measures_.services[arrival.service];
    const bool counts = arrival.at_us >= kWarmMs * kUsPerMs;
    m.offered += counts ? 1 : 0;
    auto& waiting = queues_[arrival.service].waiting;
    if (waiting.size() < kMaxWaiting)
      waiting.push_back({arrival, arrival.at_us + deadline_us});
    else if (counts)
      ++m.refused;
    StartWaiting(arrival.service);
    StartNextArrival();
  });
}

void Oracle::SetFault(bool active) {
  for (size_t service = 0; service < queues_.size(); ++service) {
    for (Slot& it : queues_[service].slots) {
      const bool affected =
          it.region == 0 && (scenario_.fault == Fault::kRegion ||
                             (scenario_.fault == Fault::kZone && it.zone == 0));
      if (!affected)
        continue;
      it.alive = !active;
      it.busy = false;
      ++it.incarnation;
      it.cold = true;
      it.warm_from_us = events_.now_us();
    }
    StartWaiting(service);
  }
}

Measures Oracle::Run() {
  StartNextArrival();
  if (scenario_.fault == Fault::kZone || scenario_.fault == Fault::kRegion) {
    events_.ScheduleAt(kFaultStartMs * kUsPerMs, [this] { SetFault(true); });
    events_.ScheduleAt(kFaultEndMs * kUsPerMs, [this] { SetFault(false); });
  }
  for (int64_t us = kWarmMs * kUsPerMs; us < kRunMs * kUsPerMs;
       us += kSampleUs) {
    events_.ScheduleAt(us, [this] {
      for (size_t i = 0; i < queues_.size(); ++i) {
        for (const Slot& it : queues_[i].slots) {
          if (it.alive && !it.fails) {
            capacity_[i] += 1 / it.slowness / deployment_.traffic[i].mean_ms *
                            static_cast<double>(kSampleUs) / kUsPerMs;
          }
        }
      }
    });
  }
  events_.RunUntil(kRunMs * kUsPerMs);
  for (size_t i = 0; i < queues_.size(); ++i) {
    ServiceMeasures& m = measures_.services[i];
    m.goodput = static_cast<double>(m.answered_in_window) / capacity_[i];
  }
  return std::move(measures_);
}

}  // namespace toucanknot::bench
