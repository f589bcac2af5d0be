#!/usr/bin/env bash
# Plays the case once; about half a minute. Exit code 1: the rule was broken, 0: it
# held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bergamotd ] && [ -x target/review/rig ] || { echo "run the build of the deploy file and review/build.sh first"; exit 2; }
exec target/review/rig stray-heartbeat review/3
