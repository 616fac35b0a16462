#!/usr/bin/env bash
# Plays the days of a site of the users' bench, and the project's own with fresh figures and seeds, and
# prints one table: what broke, with the command that plays it again, then the worst days.
#   tools/hunt.sh SITE.toml [DAYS] [JOBS] [SEEDS]
# The bench is named by ACACIASAIL_BENCH, or found beside the users' pages.
set -euo pipefail
cd "$(dirname "$0")/.."
site=$1
days=${2:-40}
jobs=${3:-3}
seeds=${4:-2}
bench=${ACACIASAIL_BENCH:-$(ls ../given/kit/more/system/more/*/bin/fleetbench | tail -1)}
out=$(mktemp)
trap 'rm -f "$out"' EXIT

"$bench" hunt "$site" --days "$days" --jobs "$jobs" --why "${WHY:-hunt}" >"$out" 2>&1 || true
plays=$(mktemp)
trap 'rm -f "$out" "$plays"' EXIT
for day in deploy/days/*.toml; do
    for seed in $(shuf -i 1-1000000000 -n "$seeds"); do
        echo "run $site $day --vary --seed $seed --why \"${WHY:-hunt}: own day, varied\""
    done
done >"$plays"
own=$(wc -l <"$plays")
hunted=$(wc -l <"$out")
xargs -P "$jobs" -L 1 "$bench" <"$plays" >>"$out" 2>&1 || true
played=$(tail -n "+$((hunted + 1))" "$out" | grep -cE '^[a-z].* [0-9]+/[0-9]+ +[0-9.]+ ' || true)
echo "== $(basename "$site"): $(grep -cE '^[a-z].* [0-9]+/[0-9]+ +[0-9.]+ ' "$out") days played"
echo "-- own days, varied: $played of $own played"
echo "-- broken, or not played:"
grep -E 'BROKEN|FAULT|exits of its own|couldn.t|doesn.t fit|unknown' "$out" | grep -v ' 0.0 exits' | cut -c1-230 || true
echo "-- first of each kind:"
grep -A9 -E '^the first that is wrong|^[A-Z]+ at [0-9.]+ s:' "$out" | cut -c1-200 | head -60 || true
echo "-- least served:"
grep -E '^[a-z].* [0-9]+/[0-9]+ +[0-9.]+ ' "$out" | sort -k5,5 | head -5 | cut -c1-200 || true
[ "$played" -gt 0 ] || { echo "hunt.sh: none of the project's own days was played" >&2; exit 1; }
