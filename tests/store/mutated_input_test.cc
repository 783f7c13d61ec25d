// Parsing arbitrary stored data or operator files gives a value or a typed
// error.

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "include/config/config_candidate.h"
#include "include/config/config_text.h"
#include "include/store/root_value.h"
#include "tests/config/small_fleet.h"

namespace toucanknot {
namespace {

// `text` with a few bytes changed and pieces removed or duplicated.
std::string Mutated(std::string text) {
  const int n = *rc::gen::inRange(1, 5);
  for (int i = 0; i < n && !text.empty(); ++i) {
    const auto at = *rc::gen::inRange<size_t>(0, text.size());
    const auto length = *rc::gen::inRange<size_t>(0, 40);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(at, length));
        break;
      default:
        text[at] = *rc::gen::elementOf(std::string("{}[],:\"0-e/*"));
    }
  }
  return text;
}

template <typename Expected, typename Fn>
void CheckOnlyThrows(const std::string& text, Fn read) {
  const auto check = [&] {
    const std::string input = Mutated(text);
    try {
      read(input);
    } catch (const Expected&) {
      return;
    }
  };
  CHECK(rc::check(check));
}

}  // namespace

TEST_CASE("mutated input is valid or gives a typed error") {
  CheckOnlyThrows<InvalidConfigError>(
      kSmallFleet, [](const std::string& it) { ParseFleetConfig(it, "m"); });
  RootValue root;
  root.version = 3;
  root.config_text = "text";
  root.config_parts = {"a"};
  root.audit_log = {{3, "2-1", ChangeKind::kDrain, "a", 5, "r", "s", "d"}};
  CheckOnlyThrows<MalformedRootError>(
      WriteRoot(root), [](const std::string& it) { ReadRoot(it); });
  CheckOnlyThrows<MalformedRootError>(
      WriteAuditLogPart({root.audit_log, "o"}),
      [](const std::string& it) { ReadAuditLogPart(it); });
  CheckOnlyThrows<InvalidConfigError>(
      WriteConfigCandidate({3, "d", "text", {"p"}}),
      [](const std::string& it) { ReadConfigCandidate(it, "m"); });
}

TEST_CASE("excessive nesting is rejected") {
  CHECK_THROWS_AS(ParseFleetConfig(std::string(1'000'000, '['), "deep"),
                  InvalidConfigError);
  CHECK_THROWS_AS(ReadRoot(std::string(1'000'000, '[')), MalformedRootError);
}

}  // namespace toucanknot
