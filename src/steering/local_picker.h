#ifndef SRC_STEERING_LOCAL_PICKER_H_
#define SRC_STEERING_LOCAL_PICKER_H_

#include <utility>
#include <vector>

#include "src/steering/picker.h"

namespace toucanknot {

// Sends to the server with the most free slots among those that MaySendTo()
// permits, and never forwards to another host. Avoids servers that are so slow
// that waiting is quicker, except for an occasional probe request.
class LocalPicker : public Picker {
 public:
  explicit LocalPicker(PickerInputs inputs)
      : in_(std::move(inputs)), random_(in_.seed) {}

  Pick Choose(const DispatchRequest& request,
              bool may_forward,
              Instant now) override;
  bool MaySendTo(size_t) const override { return true; }
  int UsableSlots(size_t server, Instant now) const override {
    return in_.servers->UsableSlots(server, now);
  }
  int FreeSlots(size_t server, Instant now) const override {
    return in_.servers->FreeSlots(server, now);
  }

 protected:
  const FleetView& view() const { return *in_.view(); }
  const PickerInputs& in() const { return in_; }
  Random& random() { return random_; }
  // How long a new request would wait here, in milliseconds.
  double ExpectedWaitMs(Instant now) const;

 private:
  bool IsTooSlow(size_t server, double wait_ms) const;
  bool IsProbeDue(size_t server, Instant now);

  const PickerInputs in_;
  Random random_;
  std::vector<Instant> last_probe_;
  size_t rotation_ = 0;
};

}  // namespace toucanknot

#endif  // SRC_STEERING_LOCAL_PICKER_H_
