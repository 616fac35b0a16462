#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standins)
for source in review/standins/*.cpp; do
    g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
wait
for folder in review/[1-9]; do
    [ -f "$folder/case.cpp" ] || continue
    g++ "${flags[@]}" "$folder/case.cpp" "$out/net.o" "$out/platform.o" -o "$out/case-$(basename "$folder")"
done
