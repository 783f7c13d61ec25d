#include "include/workspaces/key_directory.h"

#include <algorithm>
#include <random>

namespace toucanknot {

KeyDirectory::KeyDirectory() {
  std::random_device random;
  for (unsigned char& it : secret_)
    it = static_cast<unsigned char>(random());
}

KeyDirectory::Digest KeyDirectory::DigestOf(std::string_view key) const {
  const XXH128_hash_t hash = XXH3_128bits_withSecret(
      key.data(), key.size(), secret_.data(), secret_.size());
  return {hash.low64, hash.high64};
}

void KeyDirectory::OnConfig(const RouteConfigPtr& config) {
  config_ = config;
  by_digest_.clear();
  for (const Workspace& workspace : config_->workspaces) {
    for (const std::string& key : workspace.api_keys)
      by_digest_[DigestOf(key)] = &workspace;
  }
}

WorkspacePtr KeyDirectory::Find(std::string_view key) const {
  if (key.empty())
    return nullptr;
  const auto it = by_digest_.find(DigestOf(key));
  return it == by_digest_.end() ? nullptr : WorkspacePtr(config_, it->second);
}

WorkspacePtr KeyDirectory::FindById(const WorkspaceId& id) const {
  if (!config_)
    return nullptr;
  const auto& all = config_->workspaces;
  const auto it = std::find_if(all.begin(), all.end(),
                               [&](const Workspace& w) { return w.id == id; });
  return it == all.end() ? nullptr : WorkspacePtr(config_, &*it);
}

}  // namespace toucanknot
