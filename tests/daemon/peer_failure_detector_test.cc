#include "src/daemon/peer_failure_detector.h"

#include <catch2/catch.hpp>

namespace toucanknot {
namespace {

const HostId kSelf("a");
const HostId kPeer("b");
const std::vector<HostId> kBoth{kSelf, kPeer};
constexpr Duration kInterval{50};

}  // namespace

TEST_CASE(
    "a host is excluded when its notices stop and included on the next one") {
  PeerFailureDetector detector(kSelf);
  detector.OnLoadNotice(kPeer, Instant(1'000));
  CHECK(detector.FilterResponsive(kBoth, kInterval, Instant(1'300)) == kBoth);
  CHECK(detector.FilterResponsive(kBoth, kInterval, Instant(1'301)) ==
        std::vector<HostId>{kSelf});
  detector.OnLoadNotice(kPeer, Instant(5'000));
  CHECK(detector.FilterResponsive(kBoth, kInterval, Instant(5'001)) == kBoth);
}

TEST_CASE("this host and hosts that never sent a notice are not silent") {
  PeerFailureDetector detector(kSelf);
  CHECK(detector.FilterResponsive(kBoth, kInterval, Instant(99'000)) == kBoth);
}

TEST_CASE("a longer notice interval extends the silence limit") {
  PeerFailureDetector detector(kSelf);
  detector.OnLoadNotice(kPeer, Instant(0));
  CHECK(detector.FilterResponsive(kBoth, Duration(200), Instant(800)) == kBoth);
  CHECK(detector.FilterResponsive(kBoth, Duration(200), Instant(801)).size() ==
        1);
}

TEST_CASE("a pause of this process does not count as silence of other hosts") {
  PeerFailureDetector detector(kSelf);
  detector.OnLoadNotice(kPeer, Instant(1'000));
  detector.ExcludePause(Duration(4'000));
  CHECK(detector.FilterResponsive(kBoth, kInterval, Instant(5'050)) == kBoth);
}

TEST_CASE("notices from before a host left the membership are forgotten") {
  PeerFailureDetector detector(kSelf);
  detector.OnLoadNotice(kPeer, Instant(1'000));
  detector.FilterResponsive({kSelf}, kInterval, Instant(1'100));
  CHECK(detector.FilterResponsive(kBoth, kInterval, Instant(9'000)) == kBoth);
}

}  // namespace toucanknot
