#ifndef INCLUDE_WORKSPACES_KEY_DIRECTORY_H_
#define INCLUDE_WORKSPACES_KEY_DIRECTORY_H_

#include <xxhash.h>

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>

#include "include/routing/route_config.h"

namespace toucanknot {

// Shares ownership of the configuration that holds the workspace.
using WorkspacePtr = std::shared_ptr<const Workspace>;

// Finds the workspace that holds an API key. Keys are found and compared by a
// 128-bit digest under a random secret of this process: neither the time of a
// look-up nor a collision helps to guess a key. Does no I/O. Not thread-safe.
class KeyDirectory {
 public:
  KeyDirectory();

  void OnConfig(const RouteConfigPtr& config);
  // Whether requests need a key, except on public routes.
  bool required() const {
    return config_ && (config_->keys_required || !config_->workspaces.empty());
  }
  // Null if no workspace holds the key.
  WorkspacePtr Find(std::string_view key) const;
  // The workspace called `id`; null if there is none.
  WorkspacePtr FindById(const WorkspaceId& id) const;
  size_t size() const { return by_digest_.size(); }

 private:
  using Digest = std::pair<uint64_t, uint64_t>;

  Digest DigestOf(std::string_view key) const;

  std::array<unsigned char, XXH3_SECRET_SIZE_MIN> secret_;
  RouteConfigPtr config_;
  boost::unordered_flat_map<Digest, const Workspace*> by_digest_;
};

}  // namespace toucanknot

#endif  // INCLUDE_WORKSPACES_KEY_DIRECTORY_H_
