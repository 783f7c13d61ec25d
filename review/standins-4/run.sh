#!/usr/bin/env bash
# Usage: run.sh RECORD PROGRAM. Runs the program of a case of target/review-3 with
# a temporary folder; it reads TROUBLE and writes the file RECORD. Exits with its
# status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
record=$1
cd "$(dirname "$0")/../.."
rm -f "$record"
[ -x "target/review-3/$2" ] && [ -x target/toucanknot-entry ] || exit 2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout -k 2 115 "target/review-3/$2" target/toucanknot-entry "$work" "$record"
status=$?
[ -s "$record" ] || exit 2
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
