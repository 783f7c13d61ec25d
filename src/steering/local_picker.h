#ifndef SRC_STEERING_LOCAL_PICKER_H_
#define SRC_STEERING_LOCAL_PICKER_H_

#include <utility>
#include <vector>

#include "src/steering/picker.h"

namespace toucanknot {

// Sends to a free slot among the servers it is limited to, and never names
// another host. Keeps off servers that are so slow that waiting is quicker,
// but for a request now and then that finds out whether they still are.
class LocalPicker : public Picker {
 public:
  explicit LocalPicker(PickerInputs inputs)
      : in_(std::move(inputs)), random_(in_.seed) {}

  Pick Choose(const DispatchRequest& request,
              bool may_forward,
              Instant now) override;
  bool Sends(size_t) const override { return true; }
  int Slots(size_t server, Instant now) const override {
    return in_.servers->Slots(server, now);
  }
  int Free(size_t server, Instant now) const override {
    return in_.servers->Free(server, now);
  }

 protected:
  const FleetView& view() const { return *in_.view(); }
  const PickerInputs& in() const { return in_; }
  Random& random() { return random_; }
  // How long a new request would wait here, in milliseconds.
  double ExpectedWaitMs(Instant now) const;

 private:
  bool TooSlow(size_t server, double wait_ms) const;
  bool ProbeDue(size_t server, Instant now);

  const PickerInputs in_;
  Random random_;
  std::vector<Instant> last_probe_;
  size_t rotation_ = 0;
};

}  // namespace toucanknot

#endif  // SRC_STEERING_LOCAL_PICKER_H_
