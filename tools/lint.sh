#!/usr/bin/env bash
# Runs clang-tidy over the sources, or over the files named after the build
# folder, which must be built. A file that has not changed since its last clean
# run, and whose headers have not, is passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
export build stamps="$build/lint"
mkdir -p "$stamps"
if [ $# -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(git ls-files 'src/*.cc' 'platform/*.cc' 'bench/*.cc' 'tools/*.cc' \
    'soak/*.cc' |
    grep -v '/gen/')
fi
# The project's own headers of each source, as the last build found them.
export deps="$stamps/deps"
ninja -C "$build" -t deps | awk '
  /#deps/ { file = $1; sub(/^.*\.dir\//, "", file); sub(/\.o:$/, "", file) }
  $1 ~ /^\.\.\/(include|src|platform|bench|soak)\// { print file, substr($1, 4) }' > "$deps"
printf '%s\0' "${files[@]}" | xargs -0 -P "${LINT_JOBS:-8}" -n 1 bash -c '
  key=$(awk -v f="$0" "\$1 == f { print \$2 }" "$deps" | sort -u |
    xargs cat .clang-tidy "$0" | sha256sum | cut -c1-32)
  [ -f "$stamps/$key" ] && exit 0
  clang-tidy --quiet -p "$build" "$0" 2>/dev/null || exit 1
  touch "$stamps/$key"'
