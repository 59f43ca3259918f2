#!/usr/bin/env bash
# Runs fixed seeds, which must pass, and a mutant, which must fail. Argument: the program `histories`.
set -uo pipefail
histories=$1
seconds=3
status=0
run() {
  "$histories" requests --seconds "$seconds" "$@" 2>/dev/null | tail -n 5
  return "${PIPESTATUS[0]}"
}
for seed in 7 11; do
  run --seed "$seed" || { echo "seed $seed did not pass"; status=1; }
done
output=$(run --seed 11 --mutant agent_sends_lost_call_again)
mutant_status=$?
echo "$output"
if [ "$mutant_status" -ne 1 ] || ! grep -q '"verdict":"fail"' <<<"$output"; then
  echo "the mutant was not noticed"
  status=1
fi
exit "$status"
