#include "include/config/text_parts.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "include/base/digest.h"

namespace toucanknot {
namespace {

std::string Lines(int n) {
  std::string text;
  for (int i = 0; i < n; ++i) {
    text += "    {\"id\": \"server-" + std::to_string(i) +
            "\", \"zone\": \"a\", \"slots\": 4},\n";
  }
  return text;
}

std::string NoFetch(const std::string& digest) {
  FAIL("fetched " + digest);
  return "";
}

}  // namespace

TEST_CASE("joining the parts of any text gives the text") {
  CHECK(rc::check([](const std::string& head) {
    const int lines = *rc::gen::inRange(0, 3000);
    const TextParts parts(head + Lines(lines) + head);
    std::string all;
    for (const std::string& it : parts.digests()) {
      const auto part = parts.Find(it);
      RC_ASSERT(part.has_value());
      RC_ASSERT(DigestOf(*part) == it);
      all += *part;
    }
    RC_ASSERT(all == parts.text());
    RC_ASSERT(JoinParts(parts.digests(), parts, NoFetch) == parts.text());
  }));
}

TEST_CASE("a changed, added or removed line changes at most three parts") {
  const std::string text = Lines(20'000);
  const TextParts before(text);
  REQUIRE(before.digests().size() > 50);
  CHECK(rc::check([&] {
    const auto line = *rc::gen::inRange<size_t>(0, 20'000);
    size_t at = 0;
    for (size_t i = 0; i < line; ++i)
      at = text.find('\n', at) + 1;
    const size_t end = text.find('\n', at) + 1;
    const int kind = *rc::gen::inRange(0, 3);
    std::string changed = text;
    if (kind == 0)
      changed.insert(at + 1, "x");
    else if (kind == 1)
      changed.insert(at, "an added line\n");
    else
      changed.erase(at, end - at);
    const TextParts after(changed);
    size_t fetched = 0;
    const std::string joined =
        JoinParts(after.digests(), before, [&](const std::string& digest) {
          ++fetched;
          return std::string(*after.Find(digest));
        });
    RC_ASSERT(joined == changed);
    RC_ASSERT(fetched == before.Missing(after.digests()).size());
    RC_ASSERT(fetched <= 3U);
  }));
}

TEST_CASE("parts are bounded in size, and equal lines give equal parts") {
  const TextParts parts(std::string(10, '\n') + std::string(300'000, 'x'));
  CHECK(parts.digests().size() == 2);
  std::string same;
  for (int i = 0; i < 10'000; ++i)
    same += "the same line each time, which hashes alike\n";
  const TextParts alike(same);
  for (const std::string& it : alike.digests())
    CHECK(alike.Find(it)->size() <= TextParts::kMaxBytes);
  int fetched = 0;
  CHECK(JoinParts(alike.digests(), TextParts(), [&](const std::string& it) {
          ++fetched;
          return std::string(*alike.Find(it));
        }) == same);
  CHECK(fetched <= 2);
  CHECK(TextParts("").digests().empty());
}

}  // namespace toucanknot
