#ifndef INCLUDE_STORE_ROOT_VALUE_H_
#define INCLUDE_STORE_ROOT_VALUE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/enum_names.h"
#include "include/base/error.h"

namespace toucanknot {

// The key of the root value.
inline constexpr char kRootKey[] = "toucanknot/root";
// Immutable parts: this and the digest of their data.
inline constexpr char kPartPrefix[] = "toucanknot/parts/";

// What kind of change a trail entry tells of.
enum class ChangeKind {
  kApply,
  kDefaultSet,
  kExceptionAdd,
  kExceptionRetire,
  kDrain,
  kUndrain,
  // The store was brought up from a host's or file's newer version.
  kRestore,
  // Clients' blocks were replaced.
  kClients,
  // An exception's end has passed; moved out by the next change.
  kExpired,
};

inline constexpr EnumNames<ChangeKind, 9> kChangeKindNames{
    {"apply", "default-set", "exception-add", "exception-retire", "drain",
     "undrain", "restore", "clients", "expired"}};

// One entry of the audit trail.
struct AuditEntry {
  // The version that the change made.
  uint64_t version = 0;
  std::string change_id;
  ChangeKind kind = ChangeKind::kApply;
  std::string author;
  int64_t unix_ms = 0;
  std::string reason;
  // What was changed, for people.
  std::string summary;
  // Of the configuration that the change made.
  std::string digest;

  bool operator==(const AuditEntry&) const = default;
};

// What the store's root key holds: all that an accepted configuration is made
// of, so that one compare-and-swap changes it whole.
struct RootValue {
  uint64_t version = 0;
  // Of the configuration's canonical text.
  std::string digest;
  // The text itself, or the digests of the parts it is cut into when it is too
  // large for the root.
  std::string config_text;
  std::vector<std::string> config_parts;
  // Digests of the parts of the clients' blocks, in order.
  std::vector<std::string> client_parts;
  // The newest entries of the audit trail, newest first.
  std::vector<AuditEntry> trail;
  // Digest of the part that holds the entries before; empty when none do.
  std::string older_trail;

  bool operator==(const RootValue&) const = default;
};

// A part of the audit trail that was moved out of the root.
struct AuditLogPart {
  // Newest first.
  std::vector<AuditEntry> entries;
  // The part with the entries before; empty at the end.
  std::string older;

  bool operator==(const AuditLogPart&) const = default;
};

// The store holds something that is not a root value or part of this format.
class MalformedRootError : public Error {
 public:
  using Error::Error;
};

// As JSON text. A member that is not known is ignored, so that a later release
// can add some. The readers throw MalformedRootError.
std::string WriteRoot(const RootValue& root);
RootValue ReadRoot(std::string_view text);
std::string WriteAuditLogPart(const AuditLogPart& part);
AuditLogPart ReadAuditLogPart(std::string_view text);

}  // namespace toucanknot

#endif  // INCLUDE_STORE_ROOT_VALUE_H_
