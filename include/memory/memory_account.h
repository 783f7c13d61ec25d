#ifndef INCLUDE_MEMORY_MEMORY_ACCOUNT_H_
#define INCLUDE_MEMORY_MEMORY_ACCOUNT_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

#include "include/base/enum_names.h"

namespace toucanknot {

// What a host holds memory for.
enum class MemoryUse {
  // Heads of requests: the read buffer of a connection and the parsed fields.
  kRequestHead,
  kRequestBody,
  // Responses that are being read, or written to a caller.
  kResponse,
};

inline constexpr size_t kMemoryUses = 3;
inline constexpr EnumNames<MemoryUse, kMemoryUses> kMemoryUseNames{
    {"request-head", "request-body", "response"}};

// Memory that a process holds for callers and backend servers, in bytes as
// allocated. Each use has a limit, and all uses together have one that is
// smaller than the sum of theirs, so that one use can take what others leave.
// Reserve before allocating. Thread-safe.
class MemoryAccount {
 public:
  struct Limits {
    int64_t total = 0;
    // By MemoryUse.
    std::array<int64_t, kMemoryUses> by_use{};
  };

  // The limits of a process that may use `memory_bytes`.
  static Limits LimitsFor(int64_t memory_bytes);

  explicit MemoryAccount(const Limits& limits) : limits_(limits) {}
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  // Reserves `bytes`. Returns false, and reserves nothing, when the limit of
  // the use or the total would be exceeded.
  bool TryReserve(MemoryUse use, int64_t bytes);
  void Release(MemoryUse use, int64_t bytes);

  int64_t reserved(MemoryUse use) const {
    return by_use_[static_cast<size_t>(use)];
  }
  int64_t total_reserved() const { return total_; }
  // Reservations that were refused since the start.
  uint64_t refused(MemoryUse use) const {
    return refused_[static_cast<size_t>(use)];
  }
  const Limits& limits() const { return limits_; }

 private:
  const Limits limits_;
  std::atomic<int64_t> total_{0};
  std::array<std::atomic<int64_t>, kMemoryUses> by_use_{};
  std::array<std::atomic<uint64_t>, kMemoryUses> refused_{};
};

// A reservation in an account that is released when it is destroyed. Without
// an account it grants everything.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  // Null for no account.
  MemoryReservation(std::shared_ptr<MemoryAccount> account, MemoryUse use)
      : account_(std::move(account)), use_(use) {}
  ~MemoryReservation() { Reset(); }
  MemoryReservation(MemoryReservation&& other) noexcept
      : account_(std::move(other.account_)),
        use_(other.use_),
        bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryReservation& operator=(MemoryReservation&& other) noexcept;

  // Changes the size of the reservation. Returns false, and changes nothing,
  // when it would grow beyond the limits of the account.
  bool Resize(int64_t bytes);
  void Reset() { Resize(0); }
  int64_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryAccount> account_;
  MemoryUse use_ = MemoryUse::kRequestHead;
  int64_t bytes_ = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_MEMORY_MEMORY_ACCOUNT_H_
