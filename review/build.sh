#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they start, into target/review/. The
# sources end in .cpp, because CI checks all that end in .cc with the commands of the project's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -Ireview "$source" review/support/lab.cpp -pthread \
    -o "target/review/case-$number"
done
