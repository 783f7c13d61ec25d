#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10, after the build of the
# deploy file, whose program the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile() {
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$@"
}
for it in review/standins-2/*.cc; do
  compile -c "$it" -o "$out/$(basename "$it" .cc).o"
done
compile review/standins-3/one_host_day.cc -o "$out/one_host_day" \
  -lboost_json
for n in 8 9 10; do
  compile "review/$n/case.cc" "$out/loopback.o" "$out/platform.o" \
    -o "$out/case-$n"
done
