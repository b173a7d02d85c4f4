#!/usr/bin/env bash
# Plays the case "forgotten-leave" of review/standin/main.cpp; TROUBLE=0 leaves the disruption out. Needs the build of the deploy file
# and review/build.sh. Writes record.txt beside this script.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/apps/quetzalspoold ] && [ -x review/out/standin ] || exit 2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
result=0
timeout --signal=TERM --kill-after=2 115 review/out/standin forgotten-leave "$work" "$PWD" || result=$?
cp "$work/record.txt" "$here/record.txt" 2>/dev/null || true
if [ $result -gt 2 ]; then
    # The stand-in was ended by its time limit: it has not ended the daemons.
    while read -r pid; do kill -KILL "$pid" 2>/dev/null || true; done <"$work/pids"
    result=2
fi
exit $result
