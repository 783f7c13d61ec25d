#!/usr/bin/env bash
# Runs the program of one case: run_case.sh FOLDER PROGRAM. Exits with 0 if the
# rule held, 1 if it was broken, 2 if the case could not run.
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
if [ ! -x target/toucanknot-entry ] || [ ! -x "review/bin/$2" ]; then
  echo "build the system and review/build.sh first" >&2
  exit 2
fi
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
timeout -k 2 115 "review/bin/$2" "$folder/record.txt" "$scratch"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
