#include "include/clients/client_table.h"

#include <algorithm>
#include <utility>

namespace toucanknot {
namespace {

// Estimated memory of an entry of `by_name_`: node, key text and bucket.
constexpr size_t kMapEntryBytes = 112;

std::string FetchVerified(const std::string& name,
                          const ClientTable::PartFn& part_bytes) {
  std::optional<std::string> bytes = part_bytes(name);
  if (!bytes)
    throw MalformedPartError("part " + name + " is missing");
  if (PartName(*bytes) != name)
    throw MalformedPartError("part " + name + " does not match its digest");
  return std::move(*bytes);
}

}  // namespace

std::vector<std::string> ClientTable::MissingParts(
    const ClientManifest& manifest,
    const ClientTable& previous) {
  std::vector<std::string> missing = manifest.AllParts();
  std::erase_if(missing, [&](const std::string& name) {
    return previous.PartBytes(name) != nullptr;
  });
  return missing;
}

std::shared_ptr<const ClientTable> ClientTable::Build(
    const ClientManifest& manifest,
    const ClientTable& previous,
    const PartFn& part_bytes) {
  auto table = std::make_shared<ClientTable>();
  const auto part = [&](const std::string& name) {
    const auto known = previous.by_name_.find(name);
    ClientPartPtr found = known != previous.by_name_.end()
                              ? known->second
                              : std::make_shared<const ClientPart>(
                                    FetchVerified(name, part_bytes));
    table->by_name_.emplace(name, found);
    return found;
  };
  table->v4_ = BuildFamily(IpFamily::kV4, manifest.v4, part);
  table->v6_ = BuildFamily(IpFamily::kV6, manifest.v6, part);
  table->sites_name_ = manifest.sites;
  table->sites_bytes_ = manifest.sites == previous.sites_name_
                            ? previous.sites_bytes_
                            : FetchVerified(manifest.sites, part_bytes);
  table->sites_ = DecodeSites(table->sites_bytes_);
  return table;
}

ClientTable::FamilyTable ClientTable::BuildFamily(
    IpFamily family,
    const std::vector<std::string>& names,
    const std::function<ClientPartPtr(const std::string&)>& part) {
  FamilyTable out;
  out.starts.reserve(names.size());
  out.parts.reserve(names.size());
  for (const std::string& it : names) {
    ClientPartPtr next = part(it);
    if (next->family() != family)
      throw MalformedPartError("part " + it +
                               " has the wrong IP address family");
    const bool follows = out.parts.empty() ? next->first_start() == 0
                                           : out.parts.back()->last_start() <
                                                 next->first_start();
    if (!follows)
      throw MalformedPartError("part " + it + " is out of order");
    out.starts.push_back(next->first_start());
    out.parts.push_back(std::move(next));
  }
  return out;
}

SiteIndex ClientTable::Find(const ClientAddress& address) const {
  const FamilyTable& table = TableFor(address.family);
  const auto it =
      std::upper_bound(table.starts.begin(), table.starts.end(), address.bits);
  if (it == table.starts.begin())
    return kNoSite;
  return table.parts[it - table.starts.begin() - 1]->Find(address.bits);
}

const std::string& ClientTable::SiteName(SiteIndex site) const {
  static const std::string none;
  return site < sites_.size() ? sites_[site] : none;
}

const std::string* ClientTable::PartBytes(const std::string& name) const {
  if (name == sites_name_ && !name.empty())
    return &sites_bytes_;
  const auto it = by_name_.find(name);
  return it == by_name_.end() ? nullptr : &it->second->bytes();
}

size_t ClientTable::range_count() const {
  size_t n = 0;
  for (const auto& [name, part] : by_name_)
    n += part->range_count();
  return n;
}

size_t ClientTable::MemoryBytes() const {
  size_t n = sizeof(*this) + sites_bytes_.capacity();
  for (const std::string& it : sites_)
    n += sizeof(std::string) + it.capacity();
  for (const auto& [name, part] : by_name_) {
    n += part->MemoryBytes() + kMapEntryBytes + sizeof(AddressBits) +
         sizeof(ClientPartPtr);
  }
  return n;
}

}  // namespace toucanknot
