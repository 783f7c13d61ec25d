#include "include/routing/route_config.h"

namespace toucanknot {

bool Supersedes(const RouteConfig& next, const RouteConfig* current) {
  if (current == nullptr || next.version > current->version)
    return true;
  return next.version_is_assumed && next.version == current->version;
}

}  // namespace toucanknot
