#!/usr/bin/env bash
# Runs the fault soak with fresh seeds, or with those given, some at a time; prints one line a seed and what broke.
#   tools/soak.sh [--build DIR] [--jobs N] [--seconds N] [--planned] [--count N | SEED...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=build jobs=6 seconds=12 count=12 planned=
seeds=()
while [ $# -gt 0 ]; do
    case $1 in
    --build) build=$2; shift 2 ;;
    --jobs) jobs=$2; shift 2 ;;
    --seconds) seconds=$2; shift 2 ;;
    --count) count=$2; shift 2 ;;
    --planned) planned=--planned; shift ;;
    --*) echo "soak.sh: unknown option $1" >&2; exit 2 ;;
    *) seeds+=("$1"); shift ;;
    esac
done
if [ ${#seeds[@]} -eq 0 ]; then
    mapfile -t seeds < <(shuf -i 1-1000000000 -n "$count")
fi
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
export build seconds planned out
printf '%s\n' "${seeds[@]}" | xargs -P "$jobs" -I{} bash -c '
    if "$build"/bin/acaciasail-soak --router "$build"/bin/acaciasail-router --seed {} \
        --seconds "$seconds" $planned >"$out/{}" 2>&1; then touch "$out/{}.kept"; fi' || true
failed=0
for seed in "${seeds[@]}"; do
    cat "$out/$seed"
    [ -e "$out/$seed.kept" ] || failed=$((failed + 1))
done
echo "${#seeds[@]} seeds, $failed with broken promises"
[ "$failed" -eq 0 ]
