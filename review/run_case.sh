#!/usr/bin/env bash
# Runs the program of one case: run_case.sh RECORD PROGRAM. The program reads
# TROUBLE and writes the file RECORD. Exits with 0 if the rule held, 1 if it was
# broken, 2 if the case could not run.
record=$1
program=review/bin/$2
cd "$(dirname "$0")/.."
rm -f "$record"
if [ ! -x target/toucanknot-entry ] || [ ! -x "$program" ]; then
  echo "build the system and review/build.sh first" >&2
  exit 2
fi
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
timeout -k 2 115 "$program" "$record" "$scratch"
status=$?
[ "$status" -le 1 ] || status=2
[ -s "$record" ] || status=2
exit "$status"
