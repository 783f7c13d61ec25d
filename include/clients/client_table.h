#ifndef INCLUDE_CLIENTS_CLIENT_TABLE_H_
#define INCLUDE_CLIENTS_CLIENT_TABLE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "include/clients/client_manifest.h"
#include "include/clients/client_part.h"

namespace toucanknot {

// Finds the site of a client by longest-prefix match. Immutable; the table of a
// new map shares the unchanged parts with the previous one.
class ClientTable {
 public:
  // Returns the bytes of a part by its name; empty if unknown.
  using PartFn = std::function<std::optional<std::string>(const std::string&)>;

  // A table without blocks.
  ClientTable() = default;

  // The names of the parts of `manifest` that `previous` does not contain.
  static std::vector<std::string> MissingParts(const ClientManifest& manifest,
                                               const ClientTable& previous);

  // Builds the table of `manifest`. `part_bytes` is not called for parts that
  // `previous` contains. Throws MalformedPartError when a part is missing, does
  // not match its name, is malformed, or is out of order.
  static std::shared_ptr<const ClientTable> Build(
      const ClientManifest& manifest,
      const ClientTable& previous,
      const PartFn& part_bytes);

  // The index of the site for `address`, or kNoSite.
  SiteIndex Find(const ClientAddress& address) const;
  // The name of a site; empty for kNoSite.
  const std::string& SiteName(SiteIndex site) const;
  const std::vector<std::string>& sites() const { return sites_; }

  // The bytes of a part, to be sent to other hosts; null if unknown.
  const std::string* PartBytes(const std::string& name) const;
  size_t range_count() const;
  // Memory used by the table including shared parts, in bytes.
  size_t MemoryBytes() const;

 private:
  struct FamilyTable {
    std::vector<AddressBits> starts;
    std::vector<ClientPartPtr> parts;
  };

  static FamilyTable BuildFamily(
      IpFamily family,
      const std::vector<std::string>& names,
      const std::function<ClientPartPtr(const std::string&)>& part);

  const FamilyTable& TableFor(IpFamily family) const {
    return family == IpFamily::kV4 ? v4_ : v6_;
  }

  FamilyTable v4_;
  FamilyTable v6_;
  std::vector<std::string> sites_;
  std::string sites_bytes_;
  std::string sites_name_;
  std::unordered_map<std::string, ClientPartPtr> by_name_;
};

using ClientTablePtr = std::shared_ptr<const ClientTable>;

// Holds the active table. Look-ups take a snapshot and are not blocked while a
// new table is built; the old table is freed when its last user releases it.
class ClientTableSlot {
 public:
  ClientTableSlot() : table_(std::make_shared<const ClientTable>()) {}

  // Thread-safe.
  ClientTablePtr Get() const { return table_.load(); }
  void Set(ClientTablePtr table) { table_.store(std::move(table)); }

 private:
  std::atomic<ClientTablePtr> table_;
};

}  // namespace toucanknot

#endif  // INCLUDE_CLIENTS_CLIENT_TABLE_H_
