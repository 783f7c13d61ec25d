#include "src/daemon/prober.h"

#include <catch2/catch.hpp>
#include <string>

namespace toucanknot {
namespace {

bool IsHealthy(const std::string& body) {
  ExchangeResult result;
  result.end = AttemptEnd::kAnswered;
  result.response = TextResponse(200, "");
  result.response.body = body;
  return ToServerProbe(ServerId("a"), result,
                       ParseLoadReport(ServerId("a"), body))
      .healthy;
}

}  // namespace

TEST_CASE("a health report that broke off does not count as healthy") {
  const std::string report = R"({"healthy":false,"running":3})";
  for (size_t cut = 1; cut <= report.size(); ++cut)
    CHECK_FALSE(IsHealthy(report.substr(0, cut)));
  CHECK(IsHealthy(R"({"healthy":true})"));
  // A server may respond without a report.
  CHECK(IsHealthy(""));
  CHECK(IsHealthy("ok"));
}

}  // namespace toucanknot
