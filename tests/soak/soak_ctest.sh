#!/usr/bin/env bash
# Runs the soak with fixed seeds, which must pass, and with mutants, which must fail.
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

# Seed, length and the invariant that is violated. With the first, planned stops coincide with open
# requests; with the second, an endpoint sends an event without end.
declare -A mutants=(
  [forwarder_stops_at_once]="6 20 cut"
  [forwarder_keeps_endless_events]="1 10 memory"
  [forwarder_ignores_evacuations]="2302 20 evacuated"
  [forwarder_ignores_pauses]="2302 20 pause"
)
declare -A mutant_runs
for mutant in "${!mutants[@]}"; do
  read -r seed seconds _ <<<"${mutants[$mutant]}"
  "$soak" --seed "$seed" --seconds "$seconds" --mutant "$mutant" >"$folder/$mutant" &
  mutant_runs[$mutant]=$!
done

for seed in "${!runs[@]}"; do
  wait "${runs[$seed]}" || { echo "seed $seed failed"; status=1; }
done
for mutant in "${!mutants[@]}"; do
  read -r _ _ invariant <<<"${mutants[$mutant]}"
  wait "${mutant_runs[$mutant]}"
  if [ $? -ne 1 ] || ! grep -q "\"$invariant: " "$folder/$mutant"; then
    echo "the soak did not detect $mutant"
    status=1
  fi
done
cat "$folder"/*
exit "$status"
