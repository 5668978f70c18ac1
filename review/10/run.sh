#!/usr/bin/env bash
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) && cd "$here/../.." || exit 2
[ -x bin/linkpass ] && [ -x bin/review-2 ] || { echo "run the build of the deploy file and review/build-2.sh first"; exit 2; }
exec bin/review-2 upgrade-forgets-drain "$here"
