#include "include/store/root_value.h"

#include <boost/json.hpp>
#include <utility>

namespace toucanknot {
namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;

// Increased only when older releases would misread the value.
constexpr int64_t kFormat = 1;

array WriteTexts(const std::vector<std::string>& texts) {
  return array(texts.begin(), texts.end());
}

object WriteEntry(const AuditEntry& entry) {
  return object{{"version", entry.version},
                {"change", entry.change_id},
                {"kind", kChangeKindNames.Name(entry.kind)},
                {"author", entry.author},
                {"unix_ms", entry.unix_ms},
                {"reason", entry.reason},
                {"summary", entry.summary},
                {"digest", entry.digest}};
}

array WriteEntries(const std::vector<AuditEntry>& entries) {
  array out;
  for (const AuditEntry& it : entries)
    out.push_back(WriteEntry(it));
  return out;
}

std::string Text(const object& from, const char* key) {
  return std::string(from.at(key).as_string());
}

uint64_t Version(const object& from) {
  return from.at("version").to_number<uint64_t>();
}

std::vector<std::string> Texts(const object& from, const char* key) {
  std::vector<std::string> out;
  for (const value& it : from.at(key).as_array())
    out.emplace_back(it.as_string());
  return out;
}

AuditEntry ReadEntry(const object& from) {
  AuditEntry entry;
  entry.version = Version(from);
  entry.change_id = Text(from, "change");
  // Kinds added by later releases are read as the most general kind.
  entry.kind =
      kChangeKindNames.Parse(Text(from, "kind")).value_or(ChangeKind::kApply);
  entry.author = Text(from, "author");
  entry.unix_ms = from.at("unix_ms").to_number<int64_t>();
  entry.reason = Text(from, "reason");
  entry.summary = Text(from, "summary");
  entry.digest = Text(from, "digest");
  return entry;
}

std::vector<AuditEntry> ReadEntries(const object& from, const char* key) {
  std::vector<AuditEntry> entries;
  for (const value& it : from.at(key).as_array())
    entries.push_back(ReadEntry(it.as_object()));
  return entries;
}

RootValue ParseRoot(const object& from) {
  if (from.at("format").to_number<int64_t>() > kFormat)
    throw MalformedRootError("the root value has an unsupported newer format");
  RootValue root;
  root.version = Version(from);
  root.digest = Text(from, "digest");
  root.config_text = Text(from, "config");
  root.config_parts = Texts(from, "config_parts");
  root.client_parts = Texts(from, "client_parts");
  root.audit_log = ReadEntries(from, "trail");
  root.older_audit_log = Text(from, "older_trail");
  return root;
}

// Calls `read` with `text` parsed as a JSON object.
template <typename Fn>
auto ReadObject(std::string_view text, const char* what, Fn read) {
  try {
    const value parsed = boost::json::parse({text.data(), text.size()});
    return read(parsed.as_object());
  } catch (const Error&) {
    throw;
  } catch (const std::exception& e) {
    throw MalformedRootError(std::string(what) + " is malformed: " + e.what());
  }
}

}  // namespace

std::string WriteRoot(const RootValue& root) {
  return boost::json::serialize(
      object{{"format", kFormat},
             {"version", root.version},
             {"digest", root.digest},
             {"config", root.config_text},
             {"config_parts", WriteTexts(root.config_parts)},
             {"client_parts", WriteTexts(root.client_parts)},
             {"trail", WriteEntries(root.audit_log)},
             {"older_trail", root.older_audit_log}});
}

RootValue ReadRoot(std::string_view text) {
  return ReadObject(text, "the root value", ParseRoot);
}

std::string WriteAuditLogPart(const AuditLogPart& part) {
  return boost::json::serialize(
      object{{"entries", WriteEntries(part.entries)}, {"older", part.older}});
}

AuditLogPart ReadAuditLogPart(std::string_view text) {
  return ReadObject(text, "a part of the audit log", [](const object& from) {
    return AuditLogPart{ReadEntries(from, "entries"), Text(from, "older")};
  });
}

}  // namespace toucanknot
