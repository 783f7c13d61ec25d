// When a connection is closed after its last response: neither before the
// client has read it, nor long after, whatever the client does.

#include "src/http/lingering_close.h"

#include <catch2/catch.hpp>
#include <optional>

#include "src/http/send_window.h"

namespace toucanknot {
namespace {

constexpr Instant kBegan{1'000'000};
constexpr Duration kStall{30'000};
constexpr Duration kTotal{30'000};

Instant At(int64_t ms) {
  return kBegan + Duration(ms);
}

// When the connection is closed, in ms after the last write began. `Model`
// returns the unacknowledged bytes and when the client last sent something.
template <typename Model>
int64_t ClosedAfter(const Model& model, bool stopping = false) {
  LingeringClose close({kStall, kTotal}, kBegan, At(0));
  for (int64_t ms = 0; ms < 1'000'000;
       ms += close.NextInterval(stopping).ms()) {
    const auto [bytes, received_ms] = model(ms);
    if (close.IsOver(bytes, At(received_ms), At(ms), stopping))
      return ms;
  }
  return -1;
}

using State = std::pair<std::optional<int64_t>, int64_t>;

}  // namespace

TEST_CASE("a client that has everything at once is given a moment to close") {
  const int64_t ms = ClosedAfter([](int64_t) { return State(0, 0); });
  CHECK(ms >= LingeringClose::kMinQuiet.ms());
  CHECK(ms <= LingeringClose::kMinQuiet.ms() + 200);
}

TEST_CASE("a slow reader gets as long again to read its own buffer") {
  // 100 kB at 25 kB/s.
  const int64_t ms = ClosedAfter([](int64_t t) {
    return State(std::max<int64_t>(0, 100'000 - 25 * t), 0);
  });
  CHECK(ms >= 8'000);
  CHECK(ms <= 8'600);
}

TEST_CASE("a client that acknowledges something now and then is not cut") {
  // A byte each 20 s.
  const int64_t ms = ClosedAfter([](int64_t t) {
    return State(std::max<int64_t>(0, 10 - t / 20'000), 0);
  });
  CHECK(ms >= 200'000);
  CHECK(ms <= 211'000);
}

TEST_CASE("a client that acknowledges nothing is cut, whatever it sends") {
  const int64_t ms = ClosedAfter([](int64_t t) { return State(5'000, t); });
  CHECK(ms >= kStall.ms());
  CHECK(ms <= kStall.ms() + 400);
}

TEST_CASE("a client that sends on has not read the close yet") {
  const auto model = [](int64_t t) {
    return State(0, std::min<int64_t>(t, 5'000));
  };
  CHECK(ClosedAfter(model) >= 5'500);
  CHECK(ClosedAfter(model) <= 5'900);
  const auto endless = [](int64_t t) { return State(0, t); };
  CHECK(ClosedAfter(endless) <= kTotal.ms() + 400);
}

// The client's kernel has everything, but the client may not have read it.
TEST_CASE(
    "a stop leaves it to the client to close, unless it makes no progress") {
  CHECK(ClosedAfter([](int64_t) { return State(0, 0); }, true) == -1);
  CHECK(ClosedAfter([](int64_t t) { return State(0, t); }, true) == -1);
  const int64_t ms = ClosedAfter([](int64_t) { return State(5'000, 0); }, true);
  CHECK(ms >= kStall.ms());
  CHECK(ms <= 2 * kStall.ms());
}

// A kernel that does not tell what was acknowledged had everything count as
// delivered.
TEST_CASE("what is not known to be delivered counts as undelivered") {
  const auto unknown = [](int64_t) { return State(std::nullopt, 0); };
  CHECK(ClosedAfter(unknown) >= kStall.ms());
  CHECK(ClosedAfter(unknown, true) == -1);
  CHECK_FALSE(UnacknowledgedBytes(-1));
  CHECK(HasUnacknowledged(-1));
}

}  // namespace toucanknot
