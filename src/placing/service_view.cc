#include "include/placing/service_view.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <tuple>
#include <utility>

namespace toucanknot {
namespace {

// Hash of a server and an object, the same at all hosts.
uint64_t HashOf(uint64_t object, const ServerId& server) {
  return XXH3_64bits_withSeed(server.str().data(), server.str().size(), object);
}

}  // namespace

double HashToUnitInterval(uint64_t hash) {
  const uint64_t mixed = XXH3_64bits(&hash, sizeof hash);
  return (static_cast<double>(mixed >> 11) + 0.5) * 0x1p-53;
}

ServiceView::ServiceView(std::vector<Server> servers)
    : servers_(std::move(servers)) {
  for (size_t i = 0; i < servers_.size(); ++i) {
    const Server& it = servers_[i];
    rtt_sums_[static_cast<size_t>(it.nearness)] += it.rtt;
    slots_ += it.entry->entry.slots;
    for (auto n = static_cast<size_t>(it.nearness); n < slots_within_.size();
         ++n) {
      slots_within_[n] += it.entry->entry.slots;
      ++count_within_[n];
    }
    index_[it.entry->entry.id.str()] = static_cast<int>(i);
    newest_.push_back(static_cast<int>(i));
    by_nearness_.push_back(static_cast<int>(i));
  }
  std::stable_sort(by_nearness_.begin(), by_nearness_.end(), [&](int a, int b) {
    return servers_[a].nearness < servers_[b].nearness;
  });
  std::sort(newest_.begin(), newest_.end(), [&](int a, int b) {
    return servers_[a].entry->appeared_at > servers_[b].entry->appeared_at;
  });
  newest_.resize(std::min(newest_.size(), kMaxNewest));
}

void ServiceView::UpdateRtts(
    const std::function<double(const Server&)>& rtt_ms) {
  rtt_sums_ = {};
  for (Server& it : servers_) {
    it.rtt = rtt_ms(it);
    rtt_sums_[static_cast<size_t>(it.nearness)] += it.rtt;
  }
}

double ServiceView::ExtraRttBeyond(Nearness within) const {
  const auto last = static_cast<size_t>(within);
  const size_t near = count_within_[last];
  const size_t far = servers_.size() - near;
  if (near == 0 || far == 0)
    return 0;
  double near_sum = 0;
  double far_sum = 0;
  for (size_t i = 0; i < rtt_sums_.size(); ++i)
    (i <= last ? near_sum : far_sum) += rtt_sums_[i];
  return std::max(0.0, far_sum / static_cast<double>(far) -
                           near_sum / static_cast<double>(near));
}

int ServiceView::IndexOf(const ServerId& id) const {
  const auto it = index_.find(id.str());
  return it == index_.end() ? -1 : it->second;
}

const ServiceView::Order& ServiceView::PreferenceOrder(uint64_t object,
                                                       bool in_region) {
  auto& orders = orders_[in_region ? 1 : 0];
  if (const auto it = orders.find(object); it != orders.end())
    return it->second;
  if (orders.size() >= kMaxOrders)
    orders.clear();
  std::vector<std::tuple<bool, double, int>> all;
  all.reserve(servers_.size());
  for (size_t i = 0; i < servers_.size(); ++i) {
    const ServerEntry& entry = servers_[i].entry->entry;
    all.emplace_back(
        (servers_[i].nearness != Nearness::kElsewhere) != in_region,
        -std::log(HashToUnitInterval(HashOf(object, entry.id))) / entry.slots,
        static_cast<int>(i));
  }
  const size_t n = std::min(all.size(), kOrderSize);
  std::partial_sort(all.begin(), all.begin() + static_cast<ptrdiff_t>(n),
                    all.end());
  Order order;
  order.fill(-1);
  for (size_t i = 0; i < n; ++i)
    order[i] = std::get<2>(all[i]);
  return orders[object] = order;
}

ServiceView::Order ServiceView::Sample(uint64_t draw, Nearness within) const {
  Order order;
  order.fill(-1);
  const size_t count = count_within_[static_cast<size_t>(within)];
  const size_t n = std::min(count, kOrderSize);
  // A random start and a step coprime to the count: no server comes twice.
  std::minstd_rand random(static_cast<uint32_t>(XXH3_64bits(&draw, 8)));
  size_t at = count > 0 ? random() % count : 0;
  size_t step = count > 0 ? random() % count : 0;
  while (n > 1 && std::gcd(step, count) != 1)
    step = (step + 1) % count;
  for (size_t i = 0; i < n; ++i) {
    order[i] = by_nearness_[at];
    at = (at + step) % count;
  }
  return order;
}

double ServiceView::Utilization(
    const std::function<double(const ServerLoad&)>& busy,
    Instant now) {
  if (measurement_.at && now - *measurement_.at < kMeasureEvery)
    return measurement_.utilization;
  double sum = 0;
  for (const Server& it : servers_)
    sum += busy(*it.load);
  measurement_ = {slots_ > 0 ? sum / slots_ : 0, now};
  return measurement_.utilization;
}

}  // namespace toucanknot
