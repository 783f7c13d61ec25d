#ifndef INCLUDE_HEALTH_LEAVING_SIGNALS_H_
#define INCLUDE_HEALTH_LEAVING_SIGNALS_H_

#include <array>
#include <cstdint>
#include <limits>

#include "include/base/clock.h"
#include "include/base/enum_names.h"

namespace toucanknot {

// How a host learns that a backend server is leaving.
enum class LeavingSource {
  // The platform's host list.
  kHostList,
  // The server's health endpoint.
  kProbe,
  // A response of the server.
  kResponse,
  // Another entry host.
  kPeer,
  // An operator's exception (drain).
  kException,
};

inline constexpr EnumNames<LeavingSource, 5> kLeavingSourceNames{
    {"host-list", "probe", "answer", "peer", "exception"}};

// The signals that one backend server is leaving. The first signal from any
// source takes effect at once. A source withdraws its own signal only by an
// observation made at least kLag after it, so that a delayed report can't; the
// signals of responses and peers are withdrawn by the server's own health
// endpoint. An operator's exception applies exactly while it is in force.
class LeavingSignals {
 public:
  // How far the host list and health endpoints may lag behind without showing
  // it.
  static constexpr Duration kLag{10'000};

  // Records what `source` reported, as observed at `seen` (now minus the age of
  // the report).
  void Note(LeavingSource source, bool leaving, Instant seen);

  bool leaving() const { return count_ > 0; }
  bool from(LeavingSource source) const { return SignalOf(source).leaving; }
  // When the newest signal in force was observed.
  Instant since() const;

 private:
  struct Signal {
    bool leaving = false;
    // When it was observed. After it was withdrawn: signals observed at this
    // time or before are out of date.
    Instant seen = Instant(std::numeric_limits<int64_t>::min() / 4);
  };

  static constexpr size_t kSources = 5;

  const Signal& SignalOf(LeavingSource source) const {
    return signals_[static_cast<size_t>(source)];
  }
  void Set(LeavingSource source, Instant seen);
  void Clear(LeavingSource source, Instant seen);

  std::array<Signal, kSources> signals_{};
  int count_ = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_HEALTH_LEAVING_SIGNALS_H_
