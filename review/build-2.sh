#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10, after the build of the
# deploy file, whose program the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for it in review/standins-2/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$it" \
    -o "$out/$(basename "$it" .cc).o"
done
for it in review/{6,7,8,9,10}/case.cc; do
  [ -f "$it" ] || continue
  n=$(basename "$(dirname "$it")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$it" \
    "$out/loopback.o" "$out/platform.o" -o "$out/case-$n"
done
