#include "src/load/load_results.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <utility>

namespace toucanknot {
namespace {

// The smallest value that is not exceeded by at least `share` of `sorted`.
double Quantile(const std::vector<double>& sorted, double share) {
  if (sorted.empty())
    return 0;
  const auto n = static_cast<double>(sorted.size());
  const auto i = static_cast<size_t>(std::ceil(share * n));
  return sorted[std::clamp<size_t>(i, 1, sorted.size()) - 1];
}

// Rounds to hundredths for readability.
double RoundToHundredths(double ms) {
  return std::round(ms * 100) / 100;
}

}  // namespace

void LoadResults::AddSuccess(double took_ms) {
  const std::lock_guard lock(mutex_);
  ++succeeded_;
  took_ms_.push_back(took_ms);
}

void LoadResults::AddRefused() {
  const std::lock_guard lock(mutex_);
  ++refused_;
}

void LoadResults::AddFailed() {
  const std::lock_guard lock(mutex_);
  ++failed_;
}

void LoadResults::AddWrong() {
  const std::lock_guard lock(mutex_);
  ++wrong_;
}

void LoadResults::AddTruncated() {
  const std::lock_guard lock(mutex_);
  ++truncated_;
}

void LoadResults::AddRepeat(const std::string& reason) {
  const std::lock_guard lock(mutex_);
  ++repeats_[reason];
}

void LoadResults::AddSkipped() {
  const std::lock_guard lock(mutex_);
  ++skipped_;
}

void LoadResults::AddRunOnceResult(RunOnceResult end) {
  const std::lock_guard lock(mutex_);
  run_once_results_.push_back(std::move(end));
}

void LoadResults::AddRequest() {
  const std::lock_guard lock(mutex_);
  ++requests_;
}

uint64_t LoadResults::requests() const {
  const std::lock_guard lock(mutex_);
  return requests_;
}

uint64_t LoadResults::wrong_responses() const {
  const std::lock_guard lock(mutex_);
  return wrong_;
}

uint64_t LoadResults::truncated_responses() const {
  const std::lock_guard lock(mutex_);
  return truncated_;
}

boost::json::object LoadResults::Summary(
    const std::function<int(const std::string& work_id)>& runs_of) const {
  const std::lock_guard lock(mutex_);
  uint64_t lost = 0;
  uint64_t doubled = 0;
  uint64_t false_refusals = 0;
  uint64_t ran = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  for (const RunOnceResult& it : run_once_results_) {
    const bool did_run = it.verdict == "ran";
    const bool did_not = it.verdict == "not-run";
    ran += did_run ? 1 : 0;
    not_run += did_not ? 1 : 0;
    unknown += !did_run && !did_not ? 1 : 0;
    if (!runs_of)
      continue;
    const int runs = runs_of(it.work_id);
    doubled += runs > 1 ? 1 : 0;
    lost += did_run && runs == 0 ? 1 : 0;
    false_refusals += did_not && runs > 0 ? 1 : 0;
  }
  std::vector<double> sorted = took_ms_;
  std::sort(sorted.begin(), sorted.end());
  boost::json::object out = {
      {"requests", requests_},
      {"answered", succeeded_},
      {"refused", refused_},
      {"failed", failed_},
      {"repeats", boost::json::value_from(repeats_)},
      {"skipped", skipped_},
      {"run_once_ran", ran},
      {"run_once_not_run", not_run},
      {"run_once_unknown", unknown},
      {"wrong_answers", wrong_},
      {"cut_answers", truncated_},
      {"p50_ms", RoundToHundredths(Quantile(sorted, 0.5))},
      {"p99_ms", RoundToHundredths(Quantile(sorted, 0.99))},
      {"p999_ms", RoundToHundredths(Quantile(sorted, 0.999))}};
  if (runs_of) {
    out["lost"] = lost;
    out["doubled"] = doubled;
    out["false_refusals"] = false_refusals;
  }
  return out;
}

}  // namespace toucanknot
