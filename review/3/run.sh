#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/drive ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/bin/drive restart-partial review/3/record.txt
