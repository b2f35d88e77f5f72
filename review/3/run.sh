#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/tidepier-relay target/review/release/case3; do
    [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
timeout --kill-after=5 110 target/review/release/case3 review/3
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
