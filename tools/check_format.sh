#!/usr/bin/env bash
# Fails when a source file is not as clang-format would write it.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cc' '*.h' | grep -v '/gen/' | xargs -r -P 4 -n 40 \
  clang-format --dry-run --Werror
