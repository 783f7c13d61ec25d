#include "src/entry/fleet_reports.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "src/entry/load_exchange.h"

namespace toucanknot {
namespace {

constexpr Instant kStart{1'000'000};

struct Host {
  explicit Host(const std::string& name)
      : registry([](ServerChange, const ServerRegistry::Server&) {}),
        placer({HostId(name), ZoneId("z"), RegionId("r"), {}},
               registry,
               kStart),
        reports(HostId(name), 1, placer, crashes) {}

  ServerRegistry registry;
  Placer placer;
  CrashTracker crashes;
  FleetReports reports;
};

}  // namespace

TEST_CASE("a notice has only news, and each only once") {
  Host host("a");
  CHECK_FALSE(host.reports.MakeNotice(kStart));
  host.crashes.OnBroken(1, 10, kStart);
  const std::optional<LoadSheet> notice = host.reports.MakeNotice(kStart);
  REQUIRE(notice);
  CHECK(notice->sequence == LoadSheet::kNoticeSequence);
  CHECK(notice->crashes.size() == 1);
  CHECK_FALSE(host.reports.MakeNotice(kStart));
}

TEST_CASE("hosts that hear of a crash each refuse the request together") {
  Host one("a");
  Host two("b");
  one.crashes.OnBroken(1, 10, kStart);
  two.crashes.OnBroken(1, 11, kStart + Duration(50));
  const Instant now = kStart + Duration(200);
  // As it arrives, over the wire.
  const auto sheet = DecodeSheet(EncodeSheet(*one.reports.MakeNotice(now)));
  REQUIRE(sheet);
  two.reports.Apply(*sheet, now);
  CHECK(two.crashes.IsCrasher(1, now));
  // A notice does not replace the loads of a host.
  CHECK(two.placer.OwnServerLoads().empty());
  Host late("c");
  const Instant later = now + Duration(20'000);
  late.reports.Apply(two.reports.MakeSheet(later), later);
  CHECK(late.crashes.IsCrasher(1, later));
}

}  // namespace toucanknot
