#ifndef INCLUDE_HEALTH_SERVER_HEALTH_H_
#define INCLUDE_HEALTH_SERVER_HEALTH_H_

#include <cstdint>
#include <string>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/ids.h"
#include "include/config/tunables.h"
#include "include/health/leaving_signals.h"
#include "include/health/server_life_cycle.h"

namespace toucanknot {

// What the end of an attempt says about the health of its backend server.
enum class ResponseOutcome {
  kSuccess,
  // A server error, a broken connection, a failed connect, or a timeout.
  kFailure,
  // The server reported overload, or the attempt was cancelled: says nothing
  // about its health.
  kNeutral,
};

inline constexpr EnumNames<ResponseOutcome, 3> kResponseOutcomeNames{
    {"success", "failure", "neutral"}};

// How an attempt of this host ended.
struct ServerResponseSample {
  ServerId server;
  ResponseOutcome outcome = ResponseOutcome::kSuccess;
  Duration took;
  Instant sent_at;
  // The response marked the server as leaving.
  bool leaving = false;
};

// The result of a probe of a health endpoint by this host.
struct ServerProbe {
  ServerId server;
  // False also when the endpoint could not be reached.
  bool healthy = true;
  bool leaving = false;
  // Time since the server produced the report.
  Duration age;
};

// The state of a server as another entry host sees it.
struct ServerView {
  ServerId server;
  ServerState state = ServerState::kEjected;
  // Time since the signal behind it was first observed; it isn't reset when
  // hosts forward a view.
  Duration age;

  bool operator==(const ServerView&) const = default;
};

// The settings from Tunables that ServerHealth uses.
struct HealthOptions {
  Duration warmup{10'000};
  Duration max_report_age{5'000};
  int64_t eject_after_failures = 5;
  Duration eject_for{5'000};

  static HealthOptions From(const Tunables& tunables);
};

// The action that the figures of a server call for.
enum class HealthAction { kNone, kDoubt, kEject, kRecover, kReturn };

// One host's figures about one backend server, and its state. HealthTable adds
// what depends on all servers of a service.
class ServerHealth {
 public:
  explicit ServerHealth(ServerId id) : id_(std::move(id)) {}

  const ServerId& id() const { return id_; }
  ServerState state() const { return state_; }

  // Events. Each returns the action that the figures now call for.
  HealthAction OnResponse(const ServerResponseSample& response,
                          const HealthOptions& options,
                          Instant now);
  HealthAction OnProbe(const ServerProbe& probe,
                       const HealthOptions& options,
                       Instant now);
  HealthAction OnPeerView(const ServerView& view,
                          const HealthOptions& options,
                          Instant now);
  HealthAction OnLeaving(LeavingSource source, bool leaving, Instant seen);
  HealthAction Advance(const HealthOptions& options, Instant now);

  // Compares the mean response time with `median`, the service's median of it
  // in milliseconds (0 when there is none). Returns kDoubt for an outlier.
  HealthAction CompareWithMedian(double median);

  // Applies `signal`; true when the state changed.
  bool Apply(ServerSignal signal, const HealthOptions& options, Instant now);

  double Weight(const HealthOptions& options, Instant now) const;
  bool TrialDue(const HealthOptions& options, Instant now) const;
  void BeginTrial(Instant now);

  // The moving mean of response times in milliseconds; 0 until there are enough
  // responses.
  double MeanResponseTime() const;
  const LeavingSignals& leaving_signals() const { return leaving_signals_; }
  // Time since the signal that led to the present state.
  Duration SignalAge(Instant now) const;
  void MarkWarm() { warm_since_ = Instant(-Duration::Max().ms()); }
  void MarkCold(Instant now) { warm_since_ = now; }
  std::string Explain(const HealthOptions& options, Instant now) const;

 private:
  HealthAction OnSuccess(const ServerResponseSample& response, Instant now);
  HealthAction OnFailure(const ServerResponseSample& response,
                         const HealthOptions& options,
                         Instant now);
  void EndTrial(bool passed, const HealthOptions& options, Instant now);
  double SlowStartShare(const HealthOptions& options, Instant now) const;

  ServerId id_;
  ServerLifeCycle life_cycle_;
  ServerState state_ = ServerState::kCold;
  LeavingSignals leaving_signals_;

  // This host's own responses.
  int failures_in_row_ = 0;
  int successes_in_row_ = 0;
  double failure_share_ = 0;
  int64_t responses_ = 0;
  double mean_response_ms_ = 0;
  Instant last_success_;
  Instant last_bad_signal_;
  double slow_factor_ = 1;

  // Probes and peers.
  bool probed_ = false;
  bool probe_healthy_ = true;
  int unhealthy_in_row_ = 0;
  Instant probe_seen_;
  Instant unhealthy_since_;
  Instant peer_doubt_until_;

  // Ejection.
  Instant ejected_at_;
  Instant trial_at_;
  Instant trial_sent_;
  bool trial_running_ = false;
  int trials_passed_ = 0;
  int ejections_ = 0;
  Instant warm_since_;
};

}  // namespace toucanknot

#endif  // INCLUDE_HEALTH_SERVER_HEALTH_H_
