#ifndef INCLUDE_PLACING_MACHINE_SPEED_H_
#define INCLUDE_PLACING_MACHINE_SPEED_H_

#include <array>
#include <cstddef>
#include <optional>

#include "include/base/clock.h"

namespace toucanknot {

// Estimates how much longer work takes on a server because of the speed that
// its machine last reported. A report says how long work takes there at that
// moment, relative to usual (1). It changes many times a second, and a host may
// not hear from a server for seconds, so how much of an old report still holds
// is learned from responses, for each age: it is the slope of the response
// times over the reported speeds. Until there are responses, a report is
// assumed to fade quickly.
//
// One object serves all servers of a service. Does no I/O. Not thread-safe.
class MachineSpeed {
 public:
  // A report of one server.
  struct Report {
    // How long work takes relative to usual.
    double work_ratio = 1;
    Instant at;
  };

  // Ratios outside of these bounds are taken for the nearest one.
  static constexpr double kMinWorkRatio = 0.05;
  static constexpr double kMaxWorkRatio = 20;
  // Older reports count for nothing.
  static constexpr Duration kMaxAge{6'400};

  MachineSpeed();

  // By what factor work that starts at `start` takes longer than usual; 1 if
  // there is no report.
  double FactorAt(const std::optional<Report>& report, Instant start) const;

  // Records a response to a request that was sent at `start`, when `report` was
  // the latest one of its server. `ratio` is the time that it took relative to
  // what was expected without the report.
  void OnResponse(const std::optional<Report>& report,
                  Instant start,
                  double ratio);

  // The fraction of a report of that age that still holds, from 0 to 1.
  double WorthAt(Duration age) const;

 private:
  // Sums of a regression through the origin: of the deviation of response times
  // over the reported deviation.
  struct Slope {
    double products = 0;
    double squares = 0;
  };
  // Ages below 50, 100, ... 6,400 ms.
  static constexpr Duration kFirstAge{50};
  static constexpr size_t kAges = 8;

  // Index of the slope for reports of that age; kAges if they count for
  // nothing.
  static size_t IndexOf(Duration age);

  std::array<Slope, kAges> slopes_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_MACHINE_SPEED_H_
