#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15. Run after the build of the deploy
# file; everything goes to target/review-3.
set -euo pipefail
cd "$(dirname "$0")/standins-4"
out=../../target/review-3
mkdir -p "$out"
common=(fleet.cc store.cc net.cc)
for program in *.cc; do
  case " ${common[*]} " in *" $program "*) continue ;; esac
  g++ -std=c++20 -O1 -Wall -Wextra -I ../.. -o "$out/${program%.cc}" \
    "$program" "${common[@]}" -lboost_json -lpthread
done
