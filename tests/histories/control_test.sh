#!/usr/bin/env bash
# Runs the control histories for CTest: two fixed seeds must pass, and a run with a mechanism
# removed must fail. Times over the bounds are printed but don't fail a run.
# $1: path of the program `histories`.
set -uo pipefail
histories=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

run() { # name, arguments
  local name=$1
  shift
  "$histories" control --order-only "$@" >"$folder/$name" 2>&1 &
}
run seed-4 --seed 4 --seconds 4
run seed-5 --seed 5 --seconds 4
run mutant --seed 4 --seconds 4 --mutant order_without_fence
wait

failed=0
expect() { # name, verdict
  echo "== $1, expected: $2"
  tail -n 20 "$folder/$1"
  tail -n 1 "$folder/$1" | grep -q "\"verdict\":\"$2\"" || failed=1
}
expect seed-4 pass
expect seed-5 pass
expect mutant fail
exit $failed
