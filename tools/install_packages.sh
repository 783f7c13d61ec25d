#!/usr/bin/env bash
# Installs the Debian packages that the build needs; does nothing when all are
# there.
set -euo pipefail
cd "$(dirname "$0")"
mapfile -t packages < packages.txt
if dpkg-query -W -f='${db:Status-Abbrev}\n' "${packages[@]}" 2>/dev/null |
    grep -c '^ii' | grep -qx "${#packages[@]}"; then
  exit 0
fi
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends \
  "${packages[@]}"
