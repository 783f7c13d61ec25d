#include "include/health/server_health.h"

#include <algorithm>
#include <boost/json.hpp>

namespace toucanknot {
namespace {

// Consecutive own failures that make a server suspect.
constexpr int kDoubtAfterFailures = 2;
// Consecutive own successes that clear a suspect, and passed trials that end an
// ejection.
constexpr int kRecoverAfterSuccesses = 3;
constexpr int kTrialsToReturn = 2;
// Consecutive unhealthy probes that eject a server without own successes.
constexpr int kEjectAfterUnhealthy = 3;
// A moving failure share above this ejects a server, given enough responses.
constexpr double kFailureShareLimit = 0.5;
constexpr int64_t kMinResponses = 20;
// Weight of the newest response in moving averages.
constexpr double kNewestWeight = 1.0 / 16;
// A server becomes an outlier above kOutlierAbove times the service's median
// response time and stays one down to kOutlierUntil times. Differences below
// kOutlierMinMs milliseconds are noise.
constexpr double kOutlierAbove = 3;
constexpr double kOutlierUntil = 2;
constexpr double kOutlierMinMs = 5;
constexpr double kMinSlowFactor = 0.05;
// Shares of the full weight.
constexpr double kFirstShare = 0.1;
constexpr double kSuspectShare = 0.25;
// An ejection lasts up to 2^this times Tunables::eject_for.
constexpr int kMaxBackoff = 4;
// How many times Tunables::eject_for an ejected server waits for a trial while
// its own probes report it unhealthy.
constexpr int64_t kUnhealthyTrialFactor = 4;

}  // namespace

HealthOptions HealthOptions::From(const Tunables& tunables) {
  return {.warmup = tunables.warmup,
          .max_report_age = tunables.max_report_age,
          .eject_after_failures = tunables.eject_after_failures,
          .eject_for = tunables.eject_for};
}

HealthAction ServerHealth::OnResponse(const ServerResponseSample& response,
                                      const HealthOptions& options,
                                      Instant now) {
  if (response.leaving)
    leaving_signals_.Note(LeavingSource::kResponse, true, now);
  if (state_ == ServerState::kEjected) {
    // Responses to requests sent before the trial say nothing about a return.
    if (trial_running_ && response.sent_at >= trial_sent_ &&
        response.outcome != ResponseOutcome::kNeutral)
      EndTrial(response.outcome == ResponseOutcome::kSuccess, options, now);
    else if (trial_running_ && response.sent_at >= trial_sent_)
      trial_running_ = false;
    return trials_passed_ >= kTrialsToReturn ? HealthAction::kRecover
                                             : HealthAction::kNone;
  }
  switch (response.outcome) {
    case ResponseOutcome::kSuccess:
      return OnSuccess(response, now);
    case ResponseOutcome::kFailure:
      return OnFailure(response, options, now);
    case ResponseOutcome::kNeutral:
      return HealthAction::kNone;
  }
  return HealthAction::kNone;
}

HealthAction ServerHealth::OnSuccess(const ServerResponseSample& response,
                                     Instant now) {
  failures_in_row_ = 0;
  ++successes_in_row_;
  ++responses_;
  last_success_ = now;
  failure_share_ -= kNewestWeight * failure_share_;
  const auto took = static_cast<double>(response.took.ms());
  mean_response_ms_ =
      responses_ == 1
          ? took
          : mean_response_ms_ + kNewestWeight * (took - mean_response_ms_);
  const bool recovered = state_ == ServerState::kSuspect &&
                         successes_in_row_ >= kRecoverAfterSuccesses &&
                         slow_factor_ >= 1 &&
                         failure_share_ < kFailureShareLimit;
  return recovered ? HealthAction::kRecover : HealthAction::kNone;
}

HealthAction ServerHealth::OnFailure(const ServerResponseSample& response,
                                     const HealthOptions& options,
                                     Instant now) {
  // Attempts sent before the last ejection do not count.
  if (response.sent_at < ejected_at_)
    return HealthAction::kNone;
  successes_in_row_ = 0;
  ++failures_in_row_;
  ++responses_;
  last_bad_signal_ = now;
  failure_share_ += kNewestWeight * (1 - failure_share_);
  const bool doubted = now < peer_doubt_until_;
  const int64_t limit =
      doubted ? std::max<int64_t>(options.eject_after_failures / 2, 2)
              : options.eject_after_failures;
  if (failures_in_row_ >= limit)
    return HealthAction::kEject;
  if (failure_share_ > kFailureShareLimit && responses_ >= kMinResponses)
    return HealthAction::kEject;
  return failures_in_row_ >= kDoubtAfterFailures ? HealthAction::kDoubt
                                                 : HealthAction::kNone;
}

HealthAction ServerHealth::OnProbe(const ServerProbe& probe,
                                   const HealthOptions& options,
                                   Instant now) {
  const Instant seen = now - probe.age;
  const HealthAction leaving =
      OnLeaving(LeavingSource::kProbe, probe.leaving, seen);
  if (probed_ && seen < probe_seen_)
    return leaving;
  probed_ = true;
  probe_seen_ = seen;
  probe_healthy_ = probe.healthy;
  if (probe.healthy) {
    unhealthy_in_row_ = 0;
    return leaving;
  }
  if (probe.age > options.max_report_age)
    return leaving;
  if (unhealthy_in_row_ == 0)
    unhealthy_since_ = seen;
  ++unhealthy_in_row_;
  last_bad_signal_ = now;
  if (leaving != HealthAction::kNone)
    return leaving;
  // Own successes outrank an endpoint that reports wrongly.
  const bool serves = last_success_ > unhealthy_since_;
  return unhealthy_in_row_ >= kEjectAfterUnhealthy && !serves
             ? HealthAction::kEject
             : HealthAction::kDoubt;
}

HealthAction ServerHealth::OnPeerView(const ServerView& view,
                                      const HealthOptions& options,
                                      Instant now) {
  if (view.state == ServerState::kLeaving)
    return OnLeaving(LeavingSource::kPeer, true, now - view.age);
  if (view.state != ServerState::kEjected || view.age > options.max_report_age)
    return HealthAction::kNone;
  peer_doubt_until_ = now + options.max_report_age - view.age;
  // Own successes since then outrank what a peer saw.
  return last_success_ > now - view.age ? HealthAction::kNone
                                        : HealthAction::kDoubt;
}

HealthAction ServerHealth::OnLeaving(LeavingSource source,
                                     bool leaving,
                                     Instant seen) {
  leaving_signals_.Note(source, leaving, seen);
  return state_ == ServerState::kLeaving && !leaving_signals_.leaving()
             ? HealthAction::kReturn
             : HealthAction::kNone;
}

HealthAction ServerHealth::Advance(const HealthOptions& options, Instant now) {
  if (state_ == ServerState::kCold && SlowStartShare(options, now) >= 1)
    Apply(ServerSignal::kWarmedUp, options, now);
  // The end of the trial was never reported.
  if (trial_running_ && now - trial_sent_ > options.eject_for * 2)
    trial_running_ = false;
  if (state_ != ServerState::kSuspect)
    return HealthAction::kNone;
  const bool quiet = now - last_bad_signal_ >= options.eject_for &&
                     now >= peer_doubt_until_ && slow_factor_ >= 1 &&
                     failures_in_row_ < kDoubtAfterFailures;
  return quiet ? HealthAction::kRecover : HealthAction::kNone;
}

HealthAction ServerHealth::CompareWithMedian(double median) {
  const double took = MeanResponseTime();
  if (median <= 0 || took <= 0) {
    slow_factor_ = 1;
    return HealthAction::kNone;
  }
  const double limit =
      median * (slow_factor_ < 1 ? kOutlierUntil : kOutlierAbove);
  if (took <= limit || took < median + kOutlierMinMs) {
    slow_factor_ = 1;
    return HealthAction::kNone;
  }
  slow_factor_ = std::clamp(median / took, kMinSlowFactor, 1.0);
  return HealthAction::kDoubt;
}

bool ServerHealth::Apply(ServerSignal signal,
                         const HealthOptions& options,
                         Instant now) {
  if (!life_cycle_.Apply(signal))
    return false;
  const ServerState before = state_;
  state_ = life_cycle_.state();
  if (state_ == ServerState::kEjected) {
    ejected_at_ = now;
    // Each ejection soon after a return lasts longer than the one before.
    const bool again = now - warm_since_ < options.eject_for * 4;
    ejections_ = again ? std::min(ejections_ + 1, kMaxBackoff) : 0;
    trial_at_ = now + options.eject_for * (int64_t{1} << ejections_);
    trials_passed_ = 0;
    trial_running_ = false;
  }
  const bool returned =
      before == ServerState::kEjected || before == ServerState::kLeaving;
  if (returned && state_ == ServerState::kCold) {
    warm_since_ = now;
    failures_in_row_ = 0;
    successes_in_row_ = 0;
    failure_share_ = 0;
    responses_ = 0;
    mean_response_ms_ = 0;
    slow_factor_ = 1;
  }
  return true;
}

double ServerHealth::Weight(const HealthOptions& options, Instant now) const {
  switch (state_) {
    case ServerState::kCold:
    case ServerState::kWarm:
      return SlowStartShare(options, now) * slow_factor_;
    case ServerState::kSuspect:
      return kSuspectShare * SlowStartShare(options, now) * slow_factor_;
    case ServerState::kEjected:
    case ServerState::kLeaving:
      return 0;
  }
  return 0;
}

bool ServerHealth::TrialDue(const HealthOptions& options, Instant now) const {
  if (state_ != ServerState::kEjected || trial_running_ || now < trial_at_)
    return false;
  const bool unhealthy =
      probed_ && !probe_healthy_ && now - probe_seen_ <= options.max_report_age;
  return !unhealthy ||
         now >= ejected_at_ + options.eject_for * kUnhealthyTrialFactor;
}

void ServerHealth::BeginTrial(Instant now) {
  trial_running_ = true;
  trial_sent_ = now;
}

void ServerHealth::EndTrial(bool passed,
                            const HealthOptions& options,
                            Instant now) {
  trial_running_ = false;
  if (passed) {
    ++trials_passed_;
    last_success_ = now;
    return;
  }
  trials_passed_ = 0;
  ejections_ = std::min(ejections_ + 1, kMaxBackoff);
  trial_at_ = now + options.eject_for * (int64_t{1} << ejections_);
}

double ServerHealth::MeanResponseTime() const {
  return responses_ >= kMinResponses ? mean_response_ms_ : 0;
}

Duration ServerHealth::SignalAge(Instant now) const {
  return now - (state_ == ServerState::kLeaving ? leaving_signals_.since()
                                                : ejected_at_);
}

double ServerHealth::SlowStartShare(const HealthOptions& options,
                                    Instant now) const {
  if (options.warmup.ms() <= 0)
    return 1;
  const double done = static_cast<double>((now - warm_since_).ms()) /
                      static_cast<double>(options.warmup.ms());
  return std::clamp(kFirstShare + (1 - kFirstShare) * done, 0.0, 1.0);
}

std::string ServerHealth::Explain(const HealthOptions& options,
                                  Instant now) const {
  boost::json::object out{{"server", id_.str()},
                          {"state", kServerStateNames.Name(state_)},
                          {"weight", Weight(options, now)},
                          {"answers", responses_},
                          {"failures_in_row", failures_in_row_},
                          {"failure_share", failure_share_},
                          {"mean_took_ms", mean_response_ms_},
                          {"slow_factor", slow_factor_}};
  if (probed_) {
    out["probe_healthy"] = probe_healthy_;
    out["probe_age_ms"] = (now - probe_seen_).ms();
  }
  boost::json::array leaving;
  for (size_t i = 0; i < kLeavingSourceNames.names.size(); ++i) {
    if (leaving_signals_.from(static_cast<LeavingSource>(i)))
      leaving.push_back(boost::json::value(kLeavingSourceNames.names[i]));
  }
  if (!leaving.empty())
    out["leaving_by"] = std::move(leaving);
  if (state_ == ServerState::kEjected || state_ == ServerState::kLeaving)
    out["sign_age_ms"] = SignalAge(now).ms();
  if (state_ == ServerState::kEjected)
    out["trial_in_ms"] = std::max<int64_t>((trial_at_ - now).ms(), 0);
  return boost::json::serialize(out);
}

}  // namespace toucanknot
