#include "bench/capacity/line_fit.h"

#include <cmath>
#include <cstdio>

namespace toucanknot::bench {

LineFit FitLine(const std::vector<Sample>& samples) {
  const auto n = static_cast<double>(samples.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const Sample& it : samples) {
    mean_x += it.size / n;
    mean_y += it.value / n;
  }
  double xx = 0;
  double xy = 0;
  for (const Sample& it : samples) {
    xx += (it.size - mean_x) * (it.size - mean_x);
    xy += (it.size - mean_x) * (it.value - mean_y);
  }
  LineFit fit;
  fit.slope = xx > 0 ? xy / xx : 0;
  fit.intercept = mean_y - fit.slope * mean_x;
  double squares = 0;
  for (const Sample& it : samples)
    squares += std::pow(it.value - fit.ValueAt(it.size), 2);
  if (n > 2 && xx > 0) {
    fit.residual_deviation = std::sqrt(squares / (n - 2));
    fit.slope_error = fit.residual_deviation / std::sqrt(xx);
  }
  return fit;
}

void PrintFit(const std::string& name,
              const std::string& unit,
              const std::string& size_unit,
              const std::vector<Sample>& samples,
              double design_size,
              double target) {
  const LineFit fit = FitLine(samples);
  std::printf("%s\n", name.c_str());
  for (const Sample& it : samples) {
    std::printf("  %10.0f %-8s %12.4g %s\n", it.size, size_unit.c_str(),
                it.value, unit.c_str());
  }
  const double design_value = fit.ValueAt(design_size);
  std::printf("  slope %.3g +- %.2g %s per %s, base %.3g, scatter %.2g\n",
              fit.slope, fit.slope_error, unit.c_str(), size_unit.c_str(),
              fit.intercept, fit.residual_deviation);
  std::printf("  at %.0f %s: %.4g %s, target %.4g: %s\n", design_size,
              size_unit.c_str(), design_value, unit.c_str(), target,
              design_value <= target ? "met" : "MISSED");
  std::fflush(stdout);
}

}  // namespace toucanknot::bench
