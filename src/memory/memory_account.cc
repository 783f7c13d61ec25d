#include "include/memory/memory_account.h"

namespace toucanknot {
namespace {

// Percentages of the memory of the process. The rest is for the program, its
// tables, the allocator's overhead and the kernel's view of the sockets.
constexpr int64_t kTotalPercent = 60;
constexpr int64_t kHeadPercent = 20;
constexpr int64_t kBodyPercent = 25;
constexpr int64_t kResponsePercent = 25;
constexpr int64_t kPercent = 100;

}  // namespace

MemoryAccount::Limits MemoryAccount::LimitsFor(int64_t memory_bytes) {
  Limits limits;
  limits.total = memory_bytes * kTotalPercent / kPercent;
  limits.by_use = {memory_bytes * kHeadPercent / kPercent,
                   memory_bytes * kBodyPercent / kPercent,
                   memory_bytes * kResponsePercent / kPercent};
  return limits;
}

bool MemoryAccount::TryReserve(MemoryUse use, int64_t bytes) {
  const auto i = static_cast<size_t>(use);
  const bool fits = by_use_[i].fetch_add(bytes) + bytes <= limits_.by_use[i];
  if (fits) {
    if (total_.fetch_add(bytes) + bytes <= limits_.total)
      return true;
    total_ -= bytes;
  }
  by_use_[i] -= bytes;
  ++refused_[i];
  return false;
}

void MemoryAccount::Release(MemoryUse use, int64_t bytes) {
  by_use_[static_cast<size_t>(use)] -= bytes;
  total_ -= bytes;
}

MemoryReservation& MemoryReservation::operator=(
    MemoryReservation&& other) noexcept {
  if (this == &other)
    return *this;
  Reset();
  account_ = std::move(other.account_);
  use_ = other.use_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool MemoryReservation::Resize(int64_t bytes) {
  const int64_t change = bytes - bytes_;
  if (account_ != nullptr && change > 0 && !account_->TryReserve(use_, change))
    return false;
  if (account_ != nullptr && change < 0)
    account_->Release(use_, -change);
  bytes_ = bytes;
  return true;
}

}  // namespace toucanknot
