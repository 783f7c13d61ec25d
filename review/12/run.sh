#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption.
export TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../standins-4/run.sh" "$here/record.txt" tenants
