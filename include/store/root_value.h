#ifndef INCLUDE_STORE_ROOT_VALUE_H_
#define INCLUDE_STORE_ROOT_VALUE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/enum_names.h"
#include "include/base/error.h"

namespace toucanknot {

// The store key of the root value.
inline constexpr char kRootKey[] = "toucanknot/root";
// Immutable parts are stored under this prefix and the digest of their data.
inline constexpr char kPartPrefix[] = "toucanknot/parts/";

// The kind of change that an audit entry describes.
enum class ChangeKind {
  kApply,
  kDefaultSet,
  kExceptionAdd,
  kExceptionRetire,
  kDrain,
  kUndrain,
  // The store was restored from a newer version held by a host or in a file.
  kRestore,
  // The client map (address blocks of clients) was replaced.
  kClients,
  // An expired exception was removed by the next change.
  kExpired,
};

inline constexpr EnumNames<ChangeKind, 9> kChangeKindNames{
    {"apply", "default-set", "exception-add", "exception-retire", "drain",
     "undrain", "restore", "clients", "expired"}};

// One entry of the audit log.
struct AuditEntry {
  // The version created by the change.
  uint64_t version = 0;
  std::string change_id;
  ChangeKind kind = ChangeKind::kApply;
  std::string author;
  int64_t unix_ms = 0;
  std::string reason;
  // Human-readable description of the change.
  std::string summary;
  // Digest of the configuration after the change.
  std::string digest;

  bool operator==(const AuditEntry&) const = default;
};

// The value of the store's root key. Refers to everything that a configuration
// consists of, so that one compare-and-swap replaces it atomically.
struct RootValue {
  uint64_t version = 0;
  // Digest of the configuration's canonical text.
  std::string digest;
  // The canonical text, or the digests of its parts when the text is too large
  // for the root.
  std::string config_text;
  std::vector<std::string> config_parts;
  // Digests of the parts of the client map, in order.
  std::vector<std::string> client_parts;
  // The newest entries of the audit log, newest first.
  std::vector<AuditEntry> audit_log;
  // Digest of the part with the next older entries; empty when there are none.
  std::string older_audit_log;

  bool operator==(const RootValue&) const = default;
};

// A part of the audit log that was moved out of the root.
struct AuditLogPart {
  // Newest first.
  std::vector<AuditEntry> entries;
  // Digest of the part with the next older entries; empty in the oldest part.
  std::string older;

  bool operator==(const AuditLogPart&) const = default;
};

// A stored value is not a valid root or part in the supported format.
class MalformedRootError : public Error {
 public:
  using Error::Error;
};

// Serialize and parse as JSON. Unknown members are ignored, so that later
// releases can add members. The readers throw MalformedRootError.
std::string WriteRoot(const RootValue& root);
RootValue ReadRoot(std::string_view text);
std::string WriteAuditLogPart(const AuditLogPart& part);
AuditLogPart ReadAuditLogPart(std::string_view text);

}  // namespace toucanknot

#endif  // INCLUDE_STORE_ROOT_VALUE_H_
