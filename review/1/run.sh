#!/usr/bin/env bash
# Runs the case and writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
record=$folder/record.txt
cd "$folder/../.." || exit 2
program=target/review/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/bin/acaciasail-router ] || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout 100 "$program" "$record" "$work" "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
