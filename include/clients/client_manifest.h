#ifndef INCLUDE_CLIENTS_CLIENT_MANIFEST_H_
#define INCLUDE_CLIENTS_CLIENT_MANIFEST_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "include/clients/client_part.h"

namespace toucanknot {

// The names of the parts of one map of clients to sites. The configuration's
// root value refers to the manifest by PartName() of its bytes.
struct ClientManifest {
  // The part that lists the names of the sites, in the order of their indices.
  std::string sites;
  // The parts of each family, in the order of their IP addresses.
  std::vector<std::string> v4;
  std::vector<std::string> v6;

  bool operator==(const ClientManifest&) const = default;

  // All part names, without duplicates.
  std::vector<std::string> AllParts() const;

  std::string Encode() const;
  // Throws MalformedPartError for anything that Encode() does not produce.
  static ClientManifest Decode(std::string_view bytes);
};

// Encodes the list of sites as a part. Throws Error when there are more than
// 65534 or a name is empty or contains control characters.
std::string EncodeSites(const std::vector<std::string>& sites);
// Throws MalformedPartError.
std::vector<std::string> DecodeSites(std::string_view bytes);

// A map of clients to sites, ready to be written to the store.
struct ClientMapParts {
  std::string manifest;
  // Bytes by part name, including the part that lists the sites.
  std::map<std::string, std::string> parts;
};

// Splits the map into parts. The split points depend on nearby IP addresses
// only (content-defined chunking), so that a change affects only the parts
// around it. Throws Error when a block has two sites or one that is not in
// `sites`.
ClientMapParts BuildClientMap(const std::vector<ClientBlock>& blocks,
                              const std::vector<std::string>& sites);

}  // namespace toucanknot

#endif  // INCLUDE_CLIENTS_CLIENT_MANIFEST_H_
