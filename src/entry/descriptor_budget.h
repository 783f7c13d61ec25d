#ifndef SRC_ENTRY_DESCRIPTOR_BUDGET_H_
#define SRC_ENTRY_DESCRIPTOR_BUDGET_H_

#include <cstdint>

namespace toucanknot {

// How a host divides its file descriptors, so that no use takes those of
// another: with none left a host could neither reach a server nor accept the
// platform's check.
struct DescriptorBudget {
  // Connections of callers.
  int callers = 0;
  // Connections to backend servers.
  int servers = 0;
  // Connections to each of the directory, the readiness check and the metrics.
  int directory = 0;
  int readiness = 0;
  int metrics = 0;
};

// Divides `descriptors`, or the limit of the process if that is lower or
// `descriptors` is 0.
DescriptorBudget DivideDescriptors(int64_t descriptors);

}  // namespace toucanknot

#endif  // SRC_ENTRY_DESCRIPTOR_BUDGET_H_
