#ifndef BENCH_CAPACITY_LINE_FIT_H_
#define BENCH_CAPACITY_LINE_FIT_H_

#include <string>
#include <vector>

namespace toucanknot::bench {

// A figure that was measured at one size.
struct Sample {
  double size = 0;
  double figure = 0;
};

// The line through samples by least squares.
struct LineFit {
  double slope = 0;
  double base = 0;
  // Standard error of the slope; 0 with two samples.
  double slope_error = 0;
  // Standard deviation of the samples about the line.
  double scatter = 0;

  double At(double size) const { return base + slope * size; }
};

LineFit FitLine(const std::vector<Sample>& samples);

// Prints the samples, the line and what it gives at `design_size`, and whether
// that is within `target`.
void PrintFit(const std::string& name,
              const std::string& unit,
              const std::string& size_unit,
              const std::vector<Sample>& samples,
              double design_size,
              double target);

}  // namespace toucanknot::bench

#endif  // BENCH_CAPACITY_LINE_FIT_H_
