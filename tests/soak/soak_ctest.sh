#!/usr/bin/env bash
# Runs the soak with fixed seeds, which must pass, and with a mutant, which must fail.
# Argument: the path of the program `soak`.
set -uo pipefail
soak=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
status=0

# The runs are mostly idle, so they run in parallel.
declare -A runs
for seed in 1 2 11; do
  "$soak" --seed "$seed" --seconds 10 >"$folder/seed-$seed" &
  runs[$seed]=$!
done
# With this seed and length, planned stops coincide with open requests.
"$soak" --seed 1 --seconds 20 --mutant forwarder_stops_at_once >"$folder/mutant" &
mutant=$!

# An endpoint sends an event without end.
"$soak" --seed 1 --seconds 10 --mutant forwarder_keeps_endless_events >"$folder/mutant-endless" &
endless_mutant=$!

for seed in "${!runs[@]}"; do
  wait "${runs[$seed]}" || { echo "seed $seed failed"; status=1; }
done
wait "$mutant"
mutant_status=$?
wait "$endless_mutant"
if [ $? -ne 1 ] || ! grep -q '"memory: ' "$folder/mutant-endless"; then
  echo "the soak did not detect the mutant that keeps endless events"
  status=1
fi
cat "$folder"/seed-* "$folder"/mutant*
if [ "$mutant_status" -ne 1 ] || ! grep -q '"cut: ' "$folder/mutant"; then
  echo "the soak did not detect the mutant"
  status=1
fi
exit "$status"
