#ifndef SRC_STEERING_HOME_PICKER_H_
#define SRC_STEERING_HOME_PICKER_H_

#include <vector>

#include "src/steering/local_picker.h"

namespace toucanknot {

// Servers are grouped into pools. Only the home host of a pool sends to its
// servers; other hosts forward requests to a home.
class HomePicker : public LocalPicker {
 public:
  // How a request's home is chosen.
  enum class Strategy {
    // The home of a random server; every server is a pool of its own.
    kRandom,
    // The home with the shortest expected wait, by the load that the peers
    // report.
    kLeastWait,
  };

  HomePicker(PickerInputs inputs, Strategy strategy)
      : LocalPicker(std::move(inputs)), strategy_(strategy) {}

  Pick Choose(const DispatchRequest& request,
              bool may_forward,
              Instant now) override;
  bool MaySendTo(size_t server) const override;
  bool IsHomeOf(size_t server) const override;

 private:
  bool IsHomeOfAny() const;
  HostId PickRandomHome(const DispatchRequest& request);
  HostId FindLeastWaitHome(const DispatchRequest& request, Instant now) const;
  double ExpectedWaitMsAt(const HostTable::State& host, Instant now) const;

  const Strategy strategy_;
};

}  // namespace toucanknot

#endif  // SRC_STEERING_HOME_PICKER_H_
