#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into target/review-2. It needs only what the
# deploy file's build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
source=review/standins-2
out=target/review-2
mkdir -p "$out"
common="$source/wire.cpp $source/store.cpp $source/deployment.cpp $source/runner.cpp"
for driver in expectstop largebodies statuscut crashtold; do
    # shellcheck disable=SC2086
    "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -o "$out/$driver" $common "$source/$driver.cpp" -pthread &
done
status=0
for job in $(jobs -p); do
    wait "$job" || status=1
done
exit "$status"
