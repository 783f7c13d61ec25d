#include "include/placing/service_view.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace toucanknot {
namespace {

// The hash of a server for an object, the same at all hosts.
uint64_t HashOf(uint64_t object, const ServerId& server) {
  return XXH3_64bits_withSeed(server.str().data(), server.str().size(), object);
}

}  // namespace

double UnitOf(uint64_t hash) {
  const uint64_t mixed = XXH3_64bits(&hash, sizeof hash);
  return (static_cast<double>(mixed >> 11) + 0.5) * 0x1p-53;
}

ServiceView::ServiceView(std::vector<Server> servers)
    : servers_(std::move(servers)) {
  for (size_t i = 0; i < servers_.size(); ++i) {
    const Server& it = servers_[i];
    slots_ += it.entry->entry.slots;
    slots_here_ += it.here ? it.entry->entry.slots : 0;
    index_[it.entry->entry.id.str()] = static_cast<int>(i);
    joined_.push_back(static_cast<int>(i));
  }
  std::sort(joined_.begin(), joined_.end(), [&](int a, int b) {
    return servers_[a].entry->appeared_at > servers_[b].entry->appeared_at;
  });
  joined_.resize(std::min(joined_.size(), kMostJoined));
}

int ServiceView::IndexOf(const ServerId& id) const {
  const auto it = index_.find(id.str());
  return it == index_.end() ? -1 : it->second;
}

const ServiceView::Order& ServiceView::OrderOf(uint64_t object, bool here) {
  auto& orders = orders_[here ? 1 : 0];
  if (const auto it = orders.find(object); it != orders.end())
    return it->second;
  if (orders.size() >= kMostOrders)
    orders.clear();
  std::vector<std::tuple<bool, double, int>> all;
  all.reserve(servers_.size());
  for (size_t i = 0; i < servers_.size(); ++i) {
    const ServerEntry& entry = servers_[i].entry->entry;
    all.emplace_back(servers_[i].here != here,
                     -std::log(UnitOf(HashOf(object, entry.id))) / entry.slots,
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

double ServiceView::Filled(const std::function<double(const ServerLoad&)>& busy,
                           Instant now) {
  if (measured_ && now - filled_at_ < kMeasureEvery)
    return filled_;
  double sum = 0;
  for (const Server& it : servers_)
    sum += busy(*it.load);
  filled_ = slots_ > 0 ? sum / slots_ : 0;
  filled_at_ = now;
  measured_ = true;
  return filled_;
}

}  // namespace toucanknot
