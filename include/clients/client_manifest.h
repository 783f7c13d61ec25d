#ifndef INCLUDE_CLIENTS_CLIENT_MANIFEST_H_
#define INCLUDE_CLIENTS_CLIENT_MANIFEST_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "include/clients/client_part.h"

namespace toucanknot {

// The names of the parts that make up one map of clients to sites. The
// configuration's root value names the manifest, by PartName() of its bytes.
struct ClientManifest {
  // The part with the names of the sites, in the order of their indices.
  std::string sites;
  // The parts of each family, in the order of their IP numbers.
  std::vector<std::string> v4;
  std::vector<std::string> v6;

  bool operator==(const ClientManifest&) const = default;

  // All names, without repeats.
  std::vector<std::string> AllParts() const;

  std::string Encode() const;
  // Throws MalformedPartError for anything that Encode() would not write.
  static ClientManifest Decode(std::string_view bytes);
};

// The list of sites as a part: names without control characters, at most 65534.
std::string EncodeSites(const std::vector<std::string>& sites);
// Throws MalformedPartError.
std::vector<std::string> DecodeSites(std::string_view bytes);

// A map of clients to sites, ready to be written to the store.
struct ClientMapParts {
  std::string manifest;
  // By name, the part with the sites' names included.
  std::map<std::string, std::string> parts;
};

// Cuts the map into parts. Where it is cut depends on the IP numbers close by
// only, so that a change touches the parts around it and no others. Throws
// Error when a block has two sites or one that is not in `sites`.
ClientMapParts BuildClientMap(const std::vector<ClientBlock>& blocks,
                              const std::vector<std::string>& sites);

}  // namespace toucanknot

#endif  // INCLUDE_CLIENTS_CLIENT_MANIFEST_H_
