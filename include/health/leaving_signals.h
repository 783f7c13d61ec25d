#ifndef INCLUDE_HEALTH_LEAVING_SIGNALS_H_
#define INCLUDE_HEALTH_LEAVING_SIGNALS_H_

#include <array>
#include <cstdint>
#include <limits>

#include "include/base/clock.h"
#include "include/base/enum_names.h"

namespace toucanknot {

// Where a host learns that a backend server leaves.
enum class LeavingSource {
  // The platform's host list.
  kHostList,
  // The server's health endpoint.
  kProbe,
  // An answer of the server.
  kAnswer,
  // Another entry host.
  kPeer,
  // An operator's exception (drain).
  kException,
};

inline constexpr EnumNames<LeavingSource, 5> kLeavingSourceNames{
    {"host-list", "probe", "answer", "peer", "exception"}};

// The signs that one backend server is leaving. The first sign from any source
// counts at once. A source takes its own sign back only by an observation
// made at least kLag after it, so that a report that lags cannot; the signs of
// answers and peers are taken back by the server's own health endpoint. An
// operator's exception holds exactly while it is in force.
class LeavingSignals {
 public:
  // How old a figure may be without looking so: the lag of the host list and
  // of health endpoints.
  static constexpr Duration kLag{10'000};

  // What a source says, as observed at `seen` (now minus the figure's age).
  void Note(LeavingSource source, bool leaving, Instant seen);

  bool leaving() const { return count_ > 0; }
  bool from(LeavingSource source) const { return At(source).leaving; }
  // When the newest sign in force was seen.
  Instant since() const;

 private:
  struct Sign {
    bool leaving = false;
    // When it was seen. After it was taken back: signs seen at this time or
    // before come too late.
    Instant seen = Instant(std::numeric_limits<int64_t>::min() / 4);
  };

  static constexpr size_t kSources = 5;

  const Sign& At(LeavingSource source) const {
    return signs_[static_cast<size_t>(source)];
  }
  void Set(LeavingSource source, Instant seen);
  void Clear(LeavingSource source, Instant seen);

  std::array<Sign, kSources> signs_{};
  int count_ = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_HEALTH_LEAVING_SIGNALS_H_
