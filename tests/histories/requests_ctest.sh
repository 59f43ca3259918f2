#!/usr/bin/env bash
# Runs fixed seeds, which must pass, and a mutant, which must fail.
# $1: path of the program `histories`.
set -uo pipefail
histories=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
status=0

# The runs are mostly idle, so they run in parallel.
"$histories" requests --seconds 3 --seed 7 >"$folder/seed-7" 2>/dev/null &
first=$!
"$histories" requests --seconds 3 --seed 11 >"$folder/seed-11" 2>/dev/null &
second=$!
# With this seed, a service cuts its answers while it has no other fault.
"$histories" requests --seconds 3 --seed 2 --mutant agent_sends_lost_call_again \
  >"$folder/mutant" 2>/dev/null &
mutant=$!

wait "$first" || { echo "seed 7 did not pass"; status=1; }
wait "$second" || { echo "seed 11 did not pass"; status=1; }
wait "$mutant"
mutant_status=$?
tail -n 5 "$folder/seed-7" "$folder/seed-11" "$folder/mutant"
if [ "$mutant_status" -ne 1 ] || ! grep -q '"verdict":"fail"' "$folder/mutant"; then
  echo "the mutant was not detected"
  status=1
fi
exit "$status"
