#!/usr/bin/env bash
# Runs clang-tidy over the sources, or over the files named after the build
# folder. A file whose text and headers are unchanged since its last clean run
# is passed over, by a stamp in the build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
stamps="$build/lint"
mkdir -p "$stamps"
headers=$(git ls-files '*.h' .clang-tidy | xargs cat | sha256sum | cut -c1-16)
if [ $# -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(git ls-files 'src/*.cc' 'bench/*.cc' 'tools/*.cc' |
    grep -v '/gen/')
fi
export build stamps headers
printf '%s\0' "${files[@]}" | xargs -0 -P "${LINT_JOBS:-8}" -n 1 bash -c '
  stamp="$stamps/$(cat "$0" | sha256sum | cut -c1-16)-$headers"
  [ -f "$stamp" ] && exit 0
  clang-tidy --quiet -p "$build" "$0" 2>/dev/null || exit 255
  touch "$stamp"'
