#ifndef INCLUDE_BASE_IDS_H_
#define INCLUDE_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace toucanknot {

// A string identifier. Ids with different tags are distinct types.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string text) : text_(std::move(text)) {}

  const std::string& str() const { return text_; }
  bool empty() const { return text_.empty(); }

  // NOLINTNEXTLINE(modernize-use-nullptr): see Duration.
  auto operator<=>(const Id&) const = default;

 private:
  std::string text_;
};

template <typename Tag>
std::ostream& operator<<(std::ostream& out, const Id<Tag>& id) {
  return out << id.str();
}

using RegionId = Id<struct RegionTag>;
using ZoneId = Id<struct ZoneTag>;
// An entry host.
using HostId = Id<struct HostTag>;
using ServiceId = Id<struct ServiceTag>;
// A backend server.
using ServerId = Id<struct ServerTag>;
// A customer of an installation.
using WorkspaceId = Id<struct WorkspaceTag>;

// Identifies one run of a process. Every restart gets a new value, which
// differs from all earlier ones on the same host, and is greater than them
// unless the wall clock was set back.
using Incarnation = uint64_t;

}  // namespace toucanknot

template <typename Tag>
struct std::hash<toucanknot::Id<Tag>> {
  size_t operator()(const toucanknot::Id<Tag>& id) const {
    return std::hash<std::string>()(id.str());
  }
};

#endif  // INCLUDE_BASE_IDS_H_
