#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. Needs the build of the
# deploy file, whose library it links.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags=(-std=c++20 -O1 -g1 -pthread -I. -DBOOST_ASIO_NO_DEPRECATED
  -DSPDLOG_FMT_EXTERNAL -Wall -Wextra -Wno-mismatched-new-delete
  -Wno-missing-field-initializers)
libs=(target/libtoucanknot_entry_lib.a -lboost_json -lboost_program_options
  -lboost_url -lspdlog -lfmt -lthrift -lxxhash)
# Waits for all of the compilers that were started; fails if one failed.
finish() {
  for pid in "${pids[@]}"; do wait "$pid"; done
  pids=()
}
pids=()
objects=()
for source in review/standins/*.cc tests/platform/store_standin.cc \
  tests/platform/platform_texts.cc; do
  object=review/bin/$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
  objects+=("$object")
done
finish
for source in review/[1-5]/*.cc; do
  [ -e "$source" ] || continue
  g++ "${flags[@]}" "$source" "${objects[@]}" "${libs[@]}" \
    -o "review/bin/$(basename "$source" .cc)" &
  pids+=($!)
done
finish
