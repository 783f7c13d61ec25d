#include "soak/refusal_faults.h"

#include <random>

#include "src/http/one_shot.h"

namespace toucanknot::soak {
namespace {

namespace asio = boost::asio;

// Share of the servers that refuse requests in one fault, and the rates.
constexpr double kRefusingShare = 0.5;
constexpr double kMinShedRate = 0.05;
constexpr double kMaxShedRate = 0.3;
constexpr double kProfileRate = 0.15;
// The faults last this many times as long as others.
constexpr int64_t kLengthFactor = 3;

}  // namespace

void RefusalFaults::SetSome(FaultKind kind, uint64_t subject) {
  std::mt19937_64 random(subject);
  const auto draw = [&](double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  };
  for (SoakFleet::Server& it : fleet_.servers()) {
    if (it.local && draw(0, 1) < kRefusingShare) {
      const bool copies_refusals_only = draw(0, 1) < kRefusingShare;
      const double rate = draw(kMinShedRate, kMaxShedRate);
      Set(*it.local, kind, rate, copies_refusals_only);
    }
  }
}

void RefusalFaults::Set(SoakServer& server,
                        FaultKind kind,
                        double rate,
                        bool copies_refusals_only) {
  if (kind == FaultKind::kRunThenRefuse) {
    server.SetRunThenRefuseRate(rate);
    return;
  }
  server.SetShedRate(rate);
  if (kind != FaultKind::kShedRequests) {
    server.link().SetLateCopies(
        {1, copies_refusals_only, kind == FaultKind::kBrokenCopies});
  }
}

void RefusalFaults::EndAll() {
  for (SoakFleet::Server& it : fleet_.servers()) {
    if (!it.local)
      continue;
    it.local->SetShedRate(0);
    it.local->SetRunThenRefuseRate(0);
    it.local->link().SetLateCopies({});
  }
}

asio::awaitable<void> RefusalFaults::Inject(const Fault& fault) {
  if (active_)
    co_return;
  active_ = true;
  const ScopedFault span(fleet_.fault_history(), {FaultHistory::kUnplanned});
  SetSome(fault.kind, fault.subject);
  co_await SleepFor(fault.length * kLengthFactor);
  EndAll();
  active_ = false;
}

asio::awaitable<void> RefusalFaults::InjectProfile(Profile profile,
                                                   Duration length) {
  const auto set = [&](FaultKind kind) {
    bool refusals_only = true;
    for (SoakFleet::Server& it : fleet_.servers()) {
      if (it.local)
        Set(*it.local, kind, kProfileRate, refusals_only);
      refusals_only = !refusals_only;
    }
  };
  if (profile == Profile::kLateCopies || profile == Profile::kRefusals)
    set(FaultKind::kLateCopies);
  if (profile == Profile::kBrokenCopies)
    set(FaultKind::kBrokenCopies);
  if (profile == Profile::kRunThenRefuse || profile == Profile::kRefusals)
    set(FaultKind::kRunThenRefuse);
  const ScopedFault span(fleet_.fault_history(), {FaultHistory::kUnplanned});
  co_await SleepFor(length);
  EndAll();
}

}  // namespace toucanknot::soak
