#!/usr/bin/env bash
exec "$(dirname "$0")/../standins-2/run_case.sh" 10
