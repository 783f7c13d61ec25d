#ifndef BENCH_CAPACITY_LINE_FIT_H_
#define BENCH_CAPACITY_LINE_FIT_H_

#include <string>
#include <vector>

namespace toucanknot::bench {

// A value measured at one size of the system.
struct Sample {
  double size = 0;
  double value = 0;
};

// The least-squares line through samples.
struct LineFit {
  double slope = 0;
  double intercept = 0;
  // Standard error of the slope; 0 for fewer than three samples.
  double slope_error = 0;
  // Standard deviation of the samples from the line; 0 for fewer than three
  // samples.
  double residual_deviation = 0;

  double ValueAt(double size) const { return intercept + slope * size; }
};

LineFit FitLine(const std::vector<Sample>& samples);

// Prints the samples, the line, its value at `design_size`, and whether that is
// at most `target`.
void PrintFit(const std::string& name,
              const std::string& unit,
              const std::string& size_unit,
              const std::vector<Sample>& samples,
              double design_size,
              double target);

}  // namespace toucanknot::bench

#endif  // BENCH_CAPACITY_LINE_FIT_H_
