#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -pthread)
for source in review/standins-3/*.cpp; do
    g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
wait
for number in 11 12 13 14 15; do
    if [ -f "review/$number/case.cpp" ]; then
        g++ "${flags[@]}" "review/$number/case.cpp" "$out"/*.o -o "$out/case-$number"
    fi
done
