#include "include/store/change_writer.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <set>
#include <thread>
#include <utility>

#include "include/base/digest.h"
#include "include/config/text_parts.h"

namespace toucanknot {
namespace {

constexpr Duration kMaxPause{5'000};

// The base revision in a change's id; 0 if there is none.
uint64_t BaseRevision(const std::string& id) {
  uint64_t revision = 0;
  std::from_chars(id.data(), id.data() + id.size(), revision);
  return revision;
}

// Serializes the root and verifies that it can be parsed again. Throws
// MalformedRootError if not, for example when a reason is not UTF-8.
std::string SerializeRoot(const RootValue& root) {
  std::string data = WriteRoot(root);
  if (ReadRoot(data) != root)
    throw MalformedRootError("the change cannot be written as JSON");
  return data;
}

// Calls `on_entry` for each entry of the audit log, newest first, until it
// returns false.
template <typename EntryFn>
void ForEachAuditEntry(Store& store, const RootValue& root, EntryFn on_entry) {
  const auto visit_all = [&](const std::vector<AuditEntry>& entries) {
    return std::all_of(entries.begin(), entries.end(), on_entry);
  };
  if (!visit_all(root.audit_log))
    return;
  std::string older = root.older_audit_log;
  while (!older.empty()) {
    AuditLogPart part = ReadAuditLogPart(ReadPart(store, older));
    if (!visit_all(part.entries))
      return;
    older = std::move(part.older);
  }
}

}  // namespace

std::string NewChangeId(uint64_t base_revision, uint64_t random) {
  return fmt::format("{}-{:016x}", base_revision, random);
}

ChangeWriter::ChangeWriter(Store& store) : ChangeWriter(store, Options()) {}

ChangeWriter::ChangeWriter(Store& store, Options options)
    : store_(store), options_(std::move(options)) {
  if (!options_.wait) {
    options_.wait = [](Duration d) {
      std::this_thread::sleep_for(std::chrono::milliseconds(d.ms()));
    };
  }
}

void ChangeWriter::SetText(const std::string& text,
                           const RootValue& before,
                           RootValue& root) {
  root.digest = DigestOf(text);
  root.config_parts.clear();
  root.config_text.clear();
  if (text.size() <= kMaxInlineBytes) {
    root.config_text = text;
    return;
  }
  const TextParts parts(text);
  root.config_parts = parts.digests();
  const std::set<std::string> present(before.config_parts.begin(),
                                      before.config_parts.end());
  for (const std::string& it : parts.digests()) {
    if (present.count(it) == 0)
      WritePart(store_, std::string(*parts.Find(it)));
  }
}

void ChangeWriter::AddToAuditLog(const Change& change, RootValue& root) {
  std::vector<AuditEntry>& log = root.audit_log;
  const auto add = [&](ChangeKind kind, const std::string& summary) {
    log.insert(log.begin(),
               {root.version, change.id, kind, change.author, change.unix_ms,
                change.reason, summary, root.digest});
  };
  for (const std::string& it : change.expired)
    add(ChangeKind::kExpired, it);
  add(change.kind, change.summary);
  if (log.size() <= kMaxRootEntries)
    return;
  const auto first = log.begin() + kKeptRootEntries;
  const AuditLogPart part{{first, log.end()}, root.older_audit_log};
  root.older_audit_log = WritePart(store_, WriteAuditLogPart(part));
  log.erase(first, log.end());
}

RootValue ChangeWriter::BuildRoot(const RootSnapshot& base,
                                  const Change& change) {
  RootValue root = base.root;
  root.version = std::max(base.root.version, change.newest_known) + 1;
  SetText(change.config_text, base.root, root);
  if (change.client_parts)
    root.client_parts = *change.client_parts;
  AddToAuditLog(change, root);
  return root;
}

ChangeResult ChangeWriter::Write(const RootSnapshot& base,
                                 const Change& change) {
  ChangeResult result;
  std::string data;
  Duration pause = options_.pause;
  for (int i = 0; i < options_.attempts; ++i) {
    if (i > 0) {
      options_.wait(pause);
      pause = std::min(pause * 2, kMaxPause);
    }
    try {
      if (data.empty())
        data = SerializeRoot(BuildRoot(base, change));
      if (store_.CompareAndSwap(kRootKey, base.revision, data).swapped) {
        result.outcome = ChangeOutcome::kApplied;
        result.version = ReadRoot(data).version;
        return result;
      }
      return FindOutcome(change.id);
    } catch (const StoreOutcomeUnknownError& e) {
      result.outcome = ChangeOutcome::kUnknown;
      result.error = e.what();
    } catch (const StoreUnavailableError& e) {
      result.error = e.what();
    }
  }
  return result;
}

ChangeResult ChangeWriter::FindOutcome(const std::string& id) {
  ChangeResult result;
  result.present = ReadRootSnapshot(store_);
  const auto entry = FindEntry(result.present.root, id);
  if (entry) {
    result.outcome = ChangeOutcome::kApplied;
    result.version = entry->version;
  } else {
    result.outcome = ChangeOutcome::kConflict;
  }
  return result;
}

ChangeResult ChangeWriter::LookUpChange(const std::string& id) {
  ChangeResult result = FindOutcome(id);
  const bool can_be_applied = result.present.revision == BaseRevision(id);
  if (result.outcome == ChangeOutcome::kConflict && can_be_applied)
    result.outcome = ChangeOutcome::kUnknown;
  return result;
}

std::optional<AuditEntry> ChangeWriter::FindEntry(const RootValue& root,
                                                  const std::string& id) {
  std::optional<AuditEntry> found;
  ForEachAuditEntry(store_, root, [&](const AuditEntry& it) {
    if (it.change_id == id)
      found = it;
    // All later entries in this order are based on older revisions.
    return !found && BaseRevision(it.change_id) >= BaseRevision(id);
  });
  return found;
}

std::vector<AuditEntry> ReadAuditLog(Store& store,
                                     const RootValue& root,
                                     size_t limit) {
  std::vector<AuditEntry> entries;
  ForEachAuditEntry(store, root, [&](const AuditEntry& it) {
    if (entries.size() < limit)
      entries.push_back(it);
    return entries.size() < limit;
  });
  return entries;
}

}  // namespace toucanknot
