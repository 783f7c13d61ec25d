#!/usr/bin/env bash
# Runs the driver of one case with the program of the deploy file, in a
# temporary folder: run_case.sh N RECORD. Exits with the driver's result: 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
n=$1
record=$2
[ -x target/toucanknot-entry ] && [ -x "target/review-2/case-$n" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"target/review-2/case-$n" target/toucanknot-entry "$folder" \
  "review/$n/$record"
result=$?
case $result in
  0 | 1) exit "$result" ;;
  *) exit 2 ;;
esac
