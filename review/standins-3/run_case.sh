#!/usr/bin/env bash
# Plays one day of one_host_day with the program of the deploy file, in a
# temporary folder: run_case.sh N DAY. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
n=$1
day=$2
[ -x target/toucanknot-entry ] && [ -x target/review-2/one_host_day ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 target/review-2/one_host_day "$day" target/toucanknot-entry \
  "$folder" "review/$n/record.txt"
result=$?
case $result in
  0 | 1) exit "$result" ;;
  *) exit 2 ;;
esac
