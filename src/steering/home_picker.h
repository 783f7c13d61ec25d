#ifndef SRC_STEERING_HOME_PICKER_H_
#define SRC_STEERING_HOME_PICKER_H_

#include <vector>

#include "src/steering/local_picker.h"

namespace toucanknot {

// Servers belong to pools; only the home host of a pool sends to its servers.
// Others pass requests to a home.
class HomePicker : public LocalPicker {
 public:
  // How a request's home is chosen.
  enum class Way {
    // By a random server; every server is a pool.
    kRandom,
    // Free slots by the peers' figures, then the shortest expected wait.
    kLeastWait,
  };

  HomePicker(PickerInputs inputs, Way way)
      : LocalPicker(std::move(inputs)), way_(way) {}

  Pick Choose(const DispatchRequest& request,
              bool may_forward,
              Instant now) override;
  bool Sends(size_t server) const override;
  bool IsHome(size_t server) const override;

 private:
  bool IsHomeOfAny() const;
  HostId RandomHome(const DispatchRequest& request);
  HostId LeastWaitHome(const DispatchRequest& request, Instant now) const;
  double WaitAt(const HostTable::State& host, Instant now) const;

  const Way way_;
};

}  // namespace toucanknot

#endif  // SRC_STEERING_HOME_PICKER_H_
