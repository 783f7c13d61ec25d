#ifndef INCLUDE_STORE_CHANGE_WRITER_H_
#define INCLUDE_STORE_CHANGE_WRITER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/config/config_candidate.h"
#include "include/store/config_reader.h"
#include "include/store/root_value.h"
#include "include/store/store.h"

namespace toucanknot {

// What became of a change.
enum class ChangeOutcome {
  // It is in the store, once.
  kLanded,
  // Another change came first; this one never will land.
  kConflict,
  // The store could not be asked; nothing was changed.
  kNotLanded,
  // A write was sent and the store has not yet shown whether it took effect.
  kUnknown,
};

inline constexpr EnumNames<ChangeOutcome, 4> kChangeOutcomeNames{
    {"landed", "conflict", "not-landed", "not-known-yet"}};

// A change as an operator asks for it.
struct Change {
  // From NewChangeId().
  std::string id;
  ChangeKind kind = ChangeKind::kApply;
  std::string author;
  int64_t unix_ms = 0;
  std::string reason;
  std::string summary;
  // The canonical text of the configuration after the change.
  std::string config_text;
  // The clients' parts after the change; those of before when absent.
  std::optional<std::vector<std::string>> client_parts;
  // Said in the trail as kExpired: what the change took out because its end
  // had passed.
  std::vector<std::string> expired;
  // The new version is above this one too: the newest that any host has.
  uint64_t newest_known = 0;
};

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kNotLanded;
  // kLanded: the version that the change made, if it is still in the trail's
  // part that was read.
  uint64_t version = 0;
  // kConflict: what is in the store instead.
  RootSnapshot present;
  // kNotLanded, kUnknown: the store's last word.
  std::string fault;
};

// A change's id: the revision that the change is based on, and `random` to
// tell it from others. The revision says later, without anything kept, whether
// the change still can land.
std::string NewChangeId(uint64_t base_revision, uint64_t random);

// Applies changes to the root by compare-and-swap. The same change is never
// applied twice: every attempt swaps against the revision that the change is
// based on, which can succeed only once.
class ChangeWriter {
 public:
  struct Options {
    // Tries while the store is unavailable or its answers get lost.
    int attempts = 5;
    // Before the second try; doubles from try to try.
    Duration pause{100};
    // Waits; replaced in tests.
    std::function<void(Duration)> wait;
  };

  // Entries that the root's trail holds at most, and after older ones were
  // moved to a part.
  static constexpr size_t kMaxTrail = 64;
  static constexpr size_t kKeptTrail = 32;
  // Larger texts are cut into parts.
  static constexpr size_t kMaxInlineBytes = 64 << 10;

  explicit ChangeWriter(Store& store);
  ChangeWriter(Store& store, Options options);

  // Applies `change` to `base` and finds out what became of it. Throws
  // MalformedRootError when the store holds something else than a root, or the
  // change has text that is not UTF-8; nothing was changed then.
  ChangeResult Write(const RootSnapshot& base, const Change& change);

  // What became of the change `id`, asked at any time and anywhere: kLanded,
  // kConflict (another landed, this one never will), or kUnknown as long as it
  // still can land. Throws the store's errors.
  ChangeResult Find(const std::string& id);

 private:
  // The root after `change`; writes the parts that it names.
  RootValue Next(const RootSnapshot& base, const Change& change);
  void SetText(const std::string& text,
               const RootValue& before,
               RootValue& root);
  void AddToAuditLog(const Change& change, RootValue& root);
  // What the present root says of a change whose swap was refused.
  ChangeResult Settle(const std::string& id);
  // The entry of the change, from the root's trail or older parts.
  std::optional<AuditEntry> FindEntry(const RootValue& root,
                                      const std::string& id);

  Store& store_;
  Options options_;
};

// The whole trail, newest first, at most `limit` entries; reads older parts
// as needed.
std::vector<AuditEntry> ReadAuditLog(Store& store,
                                     const RootValue& root,
                                     size_t limit);

}  // namespace toucanknot

#endif  // INCLUDE_STORE_CHANGE_WRITER_H_
