#include "src/entry/descriptor_budget.h"

#include <sys/resource.h>

#include <algorithm>

namespace toucanknot {
namespace {

// For files, the event loop, the store, datagrams and listeners.
constexpr int64_t kReserved = 232;
constexpr int64_t kMinSockets = 64;
// Percentages of the sockets. A caller's connection needs one to a server while
// a request of its is served.
constexpr int64_t kCallersPercent = 54;
constexpr int64_t kServersPercent = 38;
constexpr int64_t kDirectoryPercent = 6;
constexpr int64_t kOthersPercent = 1;

int Part(int64_t sockets, int64_t percent) {
  return static_cast<int>(std::max<int64_t>(sockets * percent / 100, 4));
}

}  // namespace

DescriptorBudget DivideDescriptors(int64_t descriptors) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
      limit.rlim_cur != RLIM_INFINITY) {
    const auto of_process = static_cast<int64_t>(limit.rlim_cur);
    descriptors =
        descriptors == 0 ? of_process : std::min(descriptors, of_process);
  }
  const int64_t sockets = std::max(descriptors - kReserved, kMinSockets);
  return {Part(sockets, kCallersPercent), Part(sockets, kServersPercent),
          Part(sockets, kDirectoryPercent), Part(sockets, kOthersPercent),
          Part(sockets, kOthersPercent)};
}

}  // namespace toucanknot
