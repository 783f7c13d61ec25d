// A planned stop of a real process of toucanknot-entry.

#include <catch2/catch.hpp>
#include <initializer_list>
#include <string>
#include <thread>
#include <vector>

#include "tests/crowd/crowd_host.h"
#include "tests/http/late_upload.h"

namespace toucanknot::crowd {

TEST_CASE("a stopping process cuts no upload that ends late in the grace") {
  CrowdHost host;
  const Instant origin = SteadyNow() + Duration(300);
  std::vector<LateUpload> uploads;
  const auto add = [&](Duration head_at, std::initializer_list<int> ends_ms) {
    for (const int end_ms : ends_ms) {
      const std::string path = "/once/slow/" + std::to_string(head_at.ms()) +
                               "-" + std::to_string(end_ms);
      uploads.push_back({path, host.RequestHead("POST", path), origin + head_at,
                         origin + Duration(end_ms)});
    }
  };
  // The first ones are served before the route's timeout; the others would end
  // after the process.
  add(Duration(100), {200, 2'400, 2'600});
  add(Duration(2'300),
      {2'400, 2'600, 3'500, 4'750, 5'000, 5'200, 5'400, 5'600});
  std::vector<std::thread> callers;
  callers.reserve(uploads.size());
  for (LateUpload& it : uploads)
    callers.emplace_back([&] { it.Play(host.callers()); });
  SleepUntil(origin);
  host.BeginStop();
  for (std::thread& it : callers)
    it.join();
  for (const LateUpload& it : uploads) {
    INFO(it.id << ": " << it.reply);
    const bool served = it.Status() == "200";
    CHECK((served || it.Status() == "503"));
    CHECK(host.Arrivals(it.id) == (served ? 1 : 0));
  }
  for (int i = 0; i < 3; ++i)
    CHECK(uploads[i].Status() == "200");
  SleepUntil(origin + CrowdHost::kGrace);
  CHECK_FALSE(host.Lives());
}

}  // namespace toucanknot::crowd
