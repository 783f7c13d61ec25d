#!/bin/bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 110 review/standins-4/build/one_host_day host-case "$folder" \
  target/toucanknot-entry
code=$?
cp "$folder/record.txt" review/candidate-b/record.txt
[ "$code" -le 1 ] || exit 2
exit "$code"
