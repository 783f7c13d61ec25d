#include "include/peer/frame_codec.h"

#include <catch2/catch.hpp>

#include <random>
#include <vector>

#include "include/peer/envelope.h"

namespace toucanknot {
namespace {

const FleetKey kOldKey{1, "old secret of the fleet"};
const FleetKey kNewKey{2, "new secret of the fleet"};
const std::string kNonce(kNonceBytes, 'n');

auto Keys(FleetKey active, std::optional<FleetKey> other = std::nullopt) {
  return std::make_shared<const FleetKeys>(std::move(active), std::move(other));
}

std::optional<FrameError> ErrorOf(FrameVerifier& verifier) {
  try {
    verifier.NextBody();
  } catch (const BadFrameError& e) {
    return e.reason();
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE(
    "bodies are returned complete and in order however the bytes are split") {
  const auto keys = Keys(kOldKey);
  std::mt19937 random(7);
  FrameSigner signer(keys, kNonce);
  FrameVerifier verifier(keys, kNonce);
  std::vector<std::string> sent;
  std::string bytes = signer.Hello();
  for (int i = 0; i < 50; ++i) {
    sent.emplace_back(random() % 3000, static_cast<char>('a' + i % 26));
    bytes += signer.SignBody(sent.back());
  }
  std::vector<std::string> got;
  for (size_t at = 0; at < bytes.size();) {
    const size_t n = 1 + random() % 1500;
    verifier.Feed(std::string_view(bytes).substr(at, n));
    at += n;
    while (auto body = verifier.NextBody())
      got.push_back(*body);
  }
  CHECK(got == sent);
}

TEST_CASE("a replayed frame ends the connection") {
  const auto keys = Keys(kOldKey);
  FrameSigner signer(keys, kNonce);
  const std::string frame = signer.SignBody("body");
  SECTION("on the same connection") {
    FrameVerifier verifier(keys, kNonce);
    verifier.Feed(signer.Hello() + frame + frame);
    CHECK(verifier.NextBody() == "body");
    CHECK(ErrorOf(verifier) == FrameError::kNotAuthentic);
  }
  SECTION("on another connection") {
    FrameVerifier verifier(keys, std::string(kNonceBytes, 'm'));
    verifier.Feed(signer.Hello());
    CHECK(ErrorOf(verifier) == FrameError::kNotAuthentic);
  }
  SECTION("after a skipped frame") {
    FrameVerifier verifier(keys, kNonce);
    verifier.Feed(signer.Hello() + signer.SignBody("second"));
    CHECK(ErrorOf(verifier) == FrameError::kNotAuthentic);
  }
}

TEST_CASE("keys can be changed without downtime") {
  const auto both_old = Keys(kOldKey, kNewKey);
  const auto both_new = Keys(kNewKey, kOldKey);
  const auto exchange = [](auto from, auto to) {
    FrameSigner signer(from, kNonce);
    FrameVerifier verifier(to, kNonce);
    verifier.Feed(signer.Hello() + signer.SignBody("x"));
    return !ErrorOf(verifier);
  };
  CHECK(exchange(Keys(kOldKey), both_old));
  CHECK(exchange(both_old, Keys(kOldKey)));
  CHECK(exchange(both_new, both_old));
  CHECK(exchange(both_old, both_new));
  CHECK(exchange(Keys(kNewKey), both_new));
  CHECK_FALSE(exchange(Keys(kNewKey), Keys(kOldKey)));
  CHECK_FALSE(exchange(Keys({1, "another fleet's secret"}), Keys(kOldKey)));
}

TEST_CASE("secrets that are too short and equal key ids are rejected") {
  CHECK_THROWS_AS(FleetKeys({1, "short"}), Error);
  CHECK_THROWS_AS(FleetKeys(kOldKey, FleetKey{1, kNewKey.secret}), Error);
}

TEST_CASE("an oversized frame is rejected before its body is received") {
  FrameSigner signer(Keys(kOldKey), kNonce);
  FrameVerifier verifier(Keys(kOldKey), kNonce);
  verifier.Feed(signer.Hello());
  CHECK_FALSE(verifier.NextBody());
  verifier.Feed(std::string("\x7f\xff\xff\xff", 4));
  CHECK(ErrorOf(verifier) == FrameError::kOversized);
  verifier.Feed("more");
  CHECK(ErrorOf(verifier) == FrameError::kOversized);
  CHECK_THROWS_AS(signer.SignBody(std::string(kMaxFrameBytes, 'x')),
                  BadFrameError);
}

TEST_CASE(
    "frames longer than the hello are rejected until the sender is "
    "authenticated") {
  FrameSigner signer(Keys(kOldKey), kNonce);
  FrameVerifier verifier(Keys(kOldKey), kNonce);
  verifier.Feed(signer.SignBody("x").substr(0, kLengthBytes));
  CHECK(ErrorOf(verifier) == FrameError::kOversized);
}

TEST_CASE("a frame with any flipped bit is rejected") {
  const auto keys = Keys(kOldKey);
  FrameSigner signer(keys, kNonce);
  const std::string frame = signer.SignBody("some body");
  for (size_t i = 0; i < frame.size() * 8; ++i) {
    std::string changed = frame;
    changed[i / 8] = static_cast<char>(changed[i / 8] ^ (1 << (i % 8)));
    FrameVerifier verifier(keys, kNonce);
    verifier.Feed(signer.Hello() + changed);
    // With a larger length the verifier waits for more bytes, with which the
    // check fails.
    verifier.Feed(std::string(i / 8 < kLengthBytes ? kMaxFrameBytes : 0, 'x'));
    CHECK(ErrorOf(verifier));
  }
}

}  // namespace toucanknot
