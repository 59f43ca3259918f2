#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/support-2/*.cpp -o target/review-2/case
