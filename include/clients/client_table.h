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

// Finds the site of a client by longest-prefix match. Immutable: a new map is
// a new table that shares the unchanged parts with the old one.
class ClientTable {
 public:
  // Gives the bytes of a part by its name, or nothing.
  using PartFn = std::function<std::optional<std::string>(const std::string&)>;

  // A table without blocks.
  ClientTable() = default;

  // Names of the parts of `manifest` that `previous` does not hold.
  static std::vector<std::string> MissingParts(const ClientManifest& manifest,
                                               const ClientTable& previous);

  // Builds the table of `manifest`; parts that `previous` holds are not asked
  // for. Throws MalformedPartError, and nothing is changed, when a part is
  // missing, has other bytes than its name says, is malformed, or does not
  // follow the one before it.
  static std::shared_ptr<const ClientTable> Build(
      const ClientManifest& manifest,
      const ClientTable& previous,
      const PartFn& part_bytes);

  // The site's index, or kNoSite.
  SiteIndex Find(const ClientAddress& address) const;
  // Empty for kNoSite.
  const std::string& SiteName(SiteIndex site) const;
  const std::vector<std::string>& sites() const { return sites_; }

  // The bytes of a part for other hosts, or null.
  const std::string* PartBytes(const std::string& name) const;
  size_t range_count() const;
  // Memory that the table holds, in bytes; shared parts are counted.
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

  const FamilyTable& TableOf(IpFamily family) const {
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

// The table in force. Look-ups take a snapshot and are never held up by a swap;
// the old table goes when the last look-up that holds it ends.
class ClientTableSlot {
 public:
  ClientTableSlot() : table_(std::make_shared<const ClientTable>()) {}

  // From any thread.
  ClientTablePtr Get() const { return table_.load(); }
  void Set(ClientTablePtr table) { table_.store(std::move(table)); }

 private:
  std::atomic<ClientTablePtr> table_;
};

}  // namespace toucanknot

#endif  // INCLUDE_CLIENTS_CLIENT_TABLE_H_
