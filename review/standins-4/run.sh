#!/usr/bin/env bash
# Usage: run.sh CASE_FOLDER PROGRAM. Runs the program of a case of
# target/review-3 with a temporary folder; exits with its status: 1 if the rule
# was broken, 0 if it held, 2 if the case could not run.
set -u
case_folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
[ -x "target/review-3/$2" ] && [ -x target/toucanknot-entry ] || exit 2
timeout -k 2 115 "target/review-3/$2" target/toucanknot-entry "$work" \
  "$case_folder/record.txt"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
