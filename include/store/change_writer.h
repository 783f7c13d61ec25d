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

// The outcome of writing a change.
enum class ChangeOutcome {
  // The change was applied, exactly once.
  kApplied,
  // Another change was applied first; this one will never be applied.
  kConflict,
  // The store could not be reached; nothing was changed.
  kNotApplied,
  // A write was sent, and it is not known yet whether it took effect.
  kUnknown,
};

inline constexpr EnumNames<ChangeOutcome, 4> kChangeOutcomeNames{
    {"landed", "conflict", "not-landed", "not-known-yet"}};

// A change of the configuration, requested by an operator.
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
  // Digests of the client map's parts after the change; unchanged when absent.
  std::optional<std::vector<std::string>> client_parts;
  // Summaries of the expired exceptions that the change removes; each gets an
  // audit entry of kind kExpired.
  std::vector<std::string> expired;
  // The newest version that any host has. The new version is greater than it.
  uint64_t newest_known = 0;
};

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kNotApplied;
  // For kApplied: the version created by the change.
  uint64_t version = 0;
  // For kConflict: the root that is in the store instead.
  RootSnapshot present;
  // For kNotApplied and kUnknown: the last error of the store.
  std::string error;
};

// Creates a change id from the revision that the change is based on and
// `random`, which makes the id unique. The revision in the id shows later,
// without any stored state, whether the change can still be applied.
std::string NewChangeId(uint64_t base_revision, uint64_t random);

// Applies changes to the root by compare-and-swap. A change is never applied
// twice: every attempt expects the revision that the change is based on, so at
// most one of them can succeed.
class ChangeWriter {
 public:
  struct Options {
    // Maximum number of attempts while the store is unavailable or its
    // responses are lost.
    int attempts = 5;
    // Delay before the second attempt; doubles with each further attempt.
    Duration pause{100};
    // Sleeps; replaced in tests.
    std::function<void(Duration)> wait;
  };

  // Maximum number of audit entries in the root, and the number that remains
  // after older ones are moved to a part.
  static constexpr size_t kMaxRootEntries = 64;
  static constexpr size_t kKeptRootEntries = 32;
  // Larger texts are split into parts.
  static constexpr size_t kMaxInlineBytes = 64 << 10;

  explicit ChangeWriter(Store& store);
  ChangeWriter(Store& store, Options options);

  // Applies `change` to `base` and determines the outcome. Throws
  // MalformedRootError, without changing anything, when the store does not hold
  // a valid root or the change contains text that is not UTF-8.
  ChangeResult Write(const RootSnapshot& base, const Change& change);

  // Determines the outcome of the change `id`, also of one written by another
  // process: kApplied, kConflict (another change was applied, this one never
  // will be), or kUnknown while it may still be applied. Throws the store's
  // errors.
  ChangeResult LookUpChange(const std::string& id);

 private:
  // Builds the root after `change`, and writes the parts that it refers to.
  RootValue BuildRoot(const RootSnapshot& base, const Change& change);
  void SetText(const std::string& text,
               const RootValue& before,
               RootValue& root);
  void AddToAuditLog(const Change& change, RootValue& root);
  // Determines from the current root whether a change was applied whose swap
  // failed.
  ChangeResult FindOutcome(const std::string& id);
  // The audit entry of the change, from the root or from older parts.
  std::optional<AuditEntry> FindEntry(const RootValue& root,
                                      const std::string& id);

  Store& store_;
  Options options_;
};

// The newest `limit` entries of the audit log, newest first; reads older parts
// as needed.
std::vector<AuditEntry> ReadAuditLog(Store& store,
                                     const RootValue& root,
                                     size_t limit);

}  // namespace toucanknot

#endif  // INCLUDE_STORE_CHANGE_WRITER_H_
