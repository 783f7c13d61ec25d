#include "bench/once/schedule_model.h"

#include <array>
#include <random>

namespace toucanknot::bench {
namespace {

using Random = std::mt19937_64;

constexpr size_t kShownSeeds = 5;
// The store may go down in one of this many schedules.
constexpr int kOutageOneIn = 10;
constexpr int kMaxSteps = 2'000;
// One-way times between participants at Haufiku, in milliseconds. Stores and
// owners of keys are in any of three regions.
constexpr double kCallerMs = 1;
constexpr double kZoneMs = 1;
constexpr double kRegionMs = 20;
constexpr double kAnyRegionMs = (kZoneMs + 2 * kRegionMs) / 3;
// Time in the queue of a host and at a backend server.
constexpr double kQueueMs = 5;
constexpr double kServiceMs = 20;

// Relative probability of each kind of action, by ActionKind.
constexpr std::array<double, kActionNames.names.size()> kWeights{
    1,    // request
    20,   // deliver
    0.2,  // server-refuses
    0.2,  // lose
    0.3,  // silence
    10,   // send
    0.2,  // refuse
    0.1,  // kill
    0.3,  // restart
    1,    // close
    5,    // leave
    0.1,  // tick
    0.5,  // cut
    0.3,  // heal
    0.5,  // store-down
    0.3,  // store-up
};

// Actions that can still change the outcome; a schedule ends when none of them
// is possible.
bool MayChangeOutcome(ActionKind kind) {
  return kind == ActionKind::kRequest || kind == ActionKind::kDeliver ||
         kind == ActionKind::kSilence || kind == ActionKind::kSend;
}

bool IsFault(ActionKind kind) {
  return kind == ActionKind::kKill || kind == ActionKind::kCut ||
         kind == ActionKind::kStoreDown || kind == ActionKind::kClose;
}

// How long a step of a request takes, in milliseconds.
double StepTime(const World& world, const Action& action) {
  if (action.kind == ActionKind::kSend)
    return kQueueMs;
  if (action.kind != ActionKind::kDeliver)
    return 0;
  switch (world.message(action.a).kind) {
    case MessageKind::kRequest:
    case MessageKind::kVerdict:
      return kCallerMs;
    case MessageKind::kRan:
      return kServiceMs;
    case MessageKind::kOutcome:
    case MessageKind::kStoreOutcome:
      return 0;
    case MessageKind::kStoreClaim:
    case MessageKind::kStoreReply:
    case MessageKind::kQuery:
    case MessageKind::kQueryReply:
      return kAnyRegionMs;
    default:
      return kZoneMs;
  }
}

double WeightOf(const Action& action, const WorldOptions& options) {
  const double weight = kWeights[static_cast<size_t>(action.kind)];
  // With a mortal host, its death is scheduled by time.
  if (action.kind == ActionKind::kKill && options.mortal_host >= 0)
    return 0;
  if (action.kind == ActionKind::kRequest)
    return weight / options.hosts;
  const bool forward =
      action.kind == ActionKind::kSend && action.c < kFirstServer;
  return forward ? weight / 10 : weight;
}

const Action& Pick(const std::vector<Action>& actions,
                   const WorldOptions& options,
                   Random& random) {
  double sum = 0;
  for (const Action& it : actions)
    sum += WeightOf(it, options);
  double at = std::uniform_real_distribution<double>(0, sum)(random);
  for (const Action& it : actions) {
    at -= WeightOf(it, options);
    if (at <= 0)
      return it;
  }
  return actions.back();
}

void DrawFaults(WorldOptions& options, Random& random) {
  const auto draw = [&random](int most) {
    return most == 0 ? 0 : std::uniform_int_distribution<int>(0, most)(random);
  };
  if (options.mortal_host < 0)
    options.kills = draw(options.kills);
  options.cuts = draw(options.cuts);
  options.closes = draw(options.closes);
  options.ticks = draw(options.ticks);
  if (draw(kOutageOneIn - 1) != 0)
    options.outages = 0;
}

// Kills the mortal host during the step in which its time of death falls.
class ScheduledDeath {
 public:
  ScheduledDeath(const WorldOptions& options, Random& random)
      : host_(options.mortal_host), due_(host_ >= 0) {
    if (!due_)
      return;
    const double takes = TimeOf(CalmWorld(options.design));
    at_ = std::uniform_real_distribution<double>(0, takes)(random);
  }

  // Whether the death comes before the end of `action`.
  bool OccursDuring(const World& world, const Action& action) {
    elapsed_ += StepTime(world, action);
    const bool occurs = due_ && elapsed_ > at_;
    due_ = due_ && !occurs;
    return occurs;
  }
  Action action() const { return {ActionKind::kKill, host_}; }

 private:
  static double TimeOf(const WorldOptions& options) {
    World world(options);
    double sum = 0;
    for (auto all = world.EnabledActions(); !all.empty();
         all = world.EnabledActions()) {
      sum += StepTime(world, all.front());
      world.Apply(all.front());
    }
    return sum;
  }

  int host_;
  bool due_;
  double at_ = 0;
  double elapsed_ = 0;
};

}  // namespace

WorldOptions FaultyWorld(Design design) {
  WorldOptions options = CalmWorld(design);
  options.requests = 6;
  options.ticks = 4;
  options.kills = 3;
  options.restarts = 3;
  options.cuts = 2;
  options.outages = 1;
  options.forwards = 3;
  options.refuses = true;
  options.losses = true;
  return options;
}

WorldOptions OneDeathWorld(Design design) {
  WorldOptions options = CalmWorld(design);
  options.requests = 6;
  options.kills = 1;
  options.mortal_host = 0;
  options.restarts = 1;
  options.early_timeouts = false;
  return options;
}

WorldOptions GracefulWorld(Design design) {
  WorldOptions options = CalmWorld(design);
  options.requests = 6;
  options.closes = 3;
  options.restarts = 3;
  options.early_timeouts = false;
  options.forwards = 3;
  return options;
}

WorldOptions CalmWorld(Design design) {
  WorldOptions options;
  options.design = design;
  options.hosts = 7;
  options.servers = 6;
  options.zones = 6;
  options.requests = 1;
  options.losses = false;
  options.sensible_caller = true;
  return options;
}

ScheduleEnd RunSchedule(const WorldOptions& options, uint64_t seed) {
  Random random(seed);
  WorldOptions drawn = options;
  DrawFaults(drawn, random);
  ScheduledDeath death(drawn, random);
  World world(drawn);
  ScheduleEnd end;
  for (int i = 0; i < kMaxSteps; ++i) {
    const std::vector<Action> actions = world.EnabledActions();
    bool unfinished = false;
    for (const Action& it : actions)
      unfinished = unfinished || MayChangeOutcome(it.kind);
    if (!unfinished)
      break;
    Action action = Pick(actions, drawn, random);
    if (death.OccursDuring(world, action))
      action = death.action();
    world.Apply(action);
    end.trace.push_back(action);
    end.disturbed = end.disturbed || IsFault(action.kind);
  }
  end.violation = world.violation();
  end.known_verdict = world.known_verdict();
  end.runs = world.runs();
  end.bytes_sent = world.bytes_sent();
  end.messages = world.messages_sent();
  return end;
}

ScheduleSummary RunSchedules(const WorldOptions& options,
                             uint64_t first_seed,
                             int count) {
  ScheduleSummary sum;
  for (int i = 0; i < count; ++i) {
    const uint64_t seed = first_seed + static_cast<uint64_t>(i);
    const ScheduleEnd end = RunSchedule(options, seed);
    ++sum.schedules;
    sum.disturbed += end.disturbed;
    sum.doubled += end.violation == Violation::kDoubled;
    sum.false_refusals += end.violation == Violation::kFalseNotRun;
    sum.false_ran += end.violation == Violation::kFalseRan;
    sum.reported_ran += end.known_verdict == Verdict::kRan;
    sum.reported_not_run += end.known_verdict == Verdict::kNotRun;
    sum.unknown += end.known_verdict == Verdict::kUnknown;
    sum.unknown_unsent +=
        end.known_verdict == Verdict::kUnknown && !end.bytes_sent;
    sum.messages += end.messages;
    if (end.violation != Violation::kNone &&
        sum.bad_seeds.size() < kShownSeeds) {
      sum.bad_seeds.push_back(seed);
    }
    if (end.known_verdict == Verdict::kUnknown &&
        sum.unknown_seeds.size() < kShownSeeds) {
      sum.unknown_seeds.push_back(seed);
    }
  }
  return sum;
}

}  // namespace toucanknot::bench
