// A store, or a proxy before it, whose responses have no end must not end a
// host, which serves with what it knows meanwhile.
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <string>
#include <thread>

#include "tests/crowd/crowd_host.h"

namespace toucanknot::crowd {
namespace {

struct StoreCase {
  const char* name;
  std::string body;
};

constexpr int kRequests = 150;

std::string Repeat(const std::string& text, size_t bytes) {
  std::string out;
  while (out.size() + text.size() <= bytes)
    out += text;
  return out;
}

// A page of a listing that is always followed by another.
std::string EndlessPage() {
  return R"({"store_revision":1,"truncated":true,"items":[{"key":"servers/x",)"
         R"("revision":1,"created_rev":1,"lease":0,"value":")" +
         Repeat("AAAA", 200'000) + "\"}]}";
}

}  // namespace

TEST_CASE("responses of the store without end do not end a host") {
  const StoreCase it =
      GENERATE(StoreCase{"many values", "[" + Repeat("0,", 8'000'000) + "0]"},
               StoreCase{"many values in a short text",
                         "[" + Repeat("0,", 1'800'000) + "0]"},
               StoreCase{"a long text", Repeat("bbbb", 30'000'000)},
               StoreCase{"a listing without end", EndlessPage()});
  INFO(it.name);
  CrowdHost host;
  host.store().RespondWith(it.body);
  // Ends the watch that waits.
  host.store().Put("op/evacuate/other", "{}");
  int answered = 0;
  for (int i = 0; i < kRequests; ++i) {
    answered +=
        host.ExchangeOrdinaryRequest().starts_with("HTTP/1.1 200") ? 1 : 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  REQUIRE(host.Lives());
  CHECK(answered == kRequests);
  const int64_t peak_kb = host.PeakMemoryKb();
  INFO("peak memory " << peak_kb << " KB");
  // A sanitizer takes several times the memory of the process itself.
  CHECK((peak_kb <= CrowdHost::kMemoryMb * 1024 ||
         std::getenv("TOUCANKNOT_ENTRY_SANITIZED") != nullptr));
  host.store().RespondWith({});
  CHECK(host.AnswersOrdinaryRequest());
}

}  // namespace toucanknot::crowd
