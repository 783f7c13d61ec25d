// Guards against memory that is held without being counted: a reservation that
// is refused, moved or destroyed must leave the account exact.

#include "include/memory/memory_account.h"

#include <catch2/catch.hpp>
#include <memory>
#include <utility>

namespace toucanknot {
namespace {

constexpr MemoryAccount::Limits kLimits{100, {60, 60, 60}};

}  // namespace

TEST_CASE("a use takes what others leave, up to its own limit") {
  MemoryAccount account(kLimits);
  CHECK(account.TryReserve(MemoryUse::kRequestBody, 60));
  CHECK_FALSE(account.TryReserve(MemoryUse::kRequestBody, 1));
  CHECK_FALSE(account.TryReserve(MemoryUse::kResponse, 41));
  CHECK(account.TryReserve(MemoryUse::kResponse, 40));
  CHECK(account.total_reserved() == 100);
  CHECK(account.refused(MemoryUse::kRequestBody) == 1);
  account.Release(MemoryUse::kRequestBody, 60);
  CHECK(account.total_reserved() == 40);
  CHECK(account.reserved(MemoryUse::kRequestBody) == 0);
}

TEST_CASE("a reservation that cannot grow keeps its size") {
  const auto account = std::make_shared<MemoryAccount>(kLimits);
  MemoryReservation it(account, MemoryUse::kRequestHead);
  CHECK(it.Resize(50));
  CHECK_FALSE(it.Resize(61));
  CHECK(it.bytes() == 50);
  CHECK(it.Resize(10));
  CHECK(account->total_reserved() == 10);
}

TEST_CASE("a moved reservation is released once") {
  const auto account = std::make_shared<MemoryAccount>(kLimits);
  {
    MemoryReservation it(account, MemoryUse::kResponse);
    CHECK(it.Resize(30));
    MemoryReservation other(std::move(it));
    CHECK(account->total_reserved() == 30);
    MemoryReservation third(account, MemoryUse::kResponse);
    CHECK(third.Resize(5));
    third = std::move(other);
    CHECK(account->total_reserved() == 30);
  }
  CHECK(account->total_reserved() == 0);
}

TEST_CASE("without an account everything is granted") {
  MemoryReservation it;
  CHECK(it.Resize(int64_t{1} << 40));
}

}  // namespace toucanknot
