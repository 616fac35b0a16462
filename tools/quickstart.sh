#!/usr/bin/env bash
# Installs, builds, and shows the router at work on loopback: stand-ins of the platform and the
# runners, three daemons in two data centres, both example tables, requests of all three ranks,
# decisions, bills, and an edit in force everywhere.
set -euo pipefail
cd "$(dirname "$0")/.."

tools/install.sh
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
[ -f build/CMakeCache.txt ] || cmake --preset release >/dev/null
cmake --build --preset release --target acaciasaild acaciasailctl acaciasail-standins

bin="$PWD/build/bin"
work=$(mktemp -d)
pids=()

# Stops what was started, latest first, so that the daemons can hand their bills over.
stop_all() {
    local i
    for ((i = ${#pids[@]} - 1; i >= 0; --i)); do
        kill "${pids[i]}" 2>/dev/null || true
        wait "${pids[i]}" 2>/dev/null || true
    done
    pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

say() { printf '\n== %s\n' "$*"; }

# wait_for SECONDS COMMAND...: tries until the command succeeds.
wait_for() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || { echo "timed out: $*" >&2; return 1; }
        sleep 0.1
    done
}

# write_settings N DATA-CENTRE PLATFORM: settings of daemon N.
write_settings() {
    cat >"$work/daemon-$1.toml" <<EOF
vm = "entry-$1"
data_centre = "$2"
[callers]
listen = "127.0.0.1:2240$1"
session_secret = "quick-start-secret-of-the-fleet"
[peers]
listen = "127.0.0.1:2250$1"
seeds = ["127.0.0.1:22501", "127.0.0.1:22502", "127.0.0.1:22503"]
[admin]
listen = "127.0.0.1:2260$1"
[platform]
address = "$3"
[log]
file = "$work/daemon-$1.log"
EOF
}

# ask PORT KEY BODY [CURL ARGUMENT...]
ask() {
    local port=$1 key=$2 body=$3
    shift 3
    curl -sS -N "http://127.0.0.1:$port/v1/chat/completions" -H "Authorization: Bearer $key" \
        -H 'Content-Type: application/json' "$@" -d "$body"
    echo
}

# show DEPLOYMENT CALLER SERVICE WEIGHT-ROW DATA-CENTRE-1 DATA-CENTRE-2
show() {
    local deployment=$1 key="example-key-$2" service=$3 weight=$4 platform n
    platform=$(sed -n 's/^platform = "\(.*\)"/\1/p' "examples/standins-$deployment.toml")
    local ctl=("$bin/acaciasailctl" --platform "$platform" --by quickstart)
    for n in 1 2 3; do ctl+=(--daemon "127.0.0.1:2260$n"); done

    say "$deployment: stand-ins, and three daemons in two data centres"
    "$bin/acaciasail-standins" --settings "examples/standins-$deployment.toml" >"$work/standins.log" 2>&1 &
    pids+=($!)
    wait_for 10 curl -fsS "http://$platform/objects?prefix=table/"
    "${ctl[@]}" table import "examples/$deployment.toml" | tail -1
    write_settings 1 "$5" "$platform"
    write_settings 2 "$5" "$platform"
    write_settings 3 "$6" "$platform"
    for n in 1 2 3; do
        "$bin/acaciasaild" --settings "$work/daemon-$n.toml" &
        pids+=($!)
    done
    for n in 1 2 3; do wait_for 10 curl -fsS "http://127.0.0.1:2260$n/readyz"; done
    wait_for 10 bash -c "curl -fsS http://127.0.0.1:22601/admin/status | grep -q entry-3"
    "${ctl[@]}" status

    say "$deployment: a request of each rank, each at another daemon; the first is streamed"
    ask 22401 "$key" '{"model":"auto","stream":true,"max_tokens":4,"service_tier":"priority","messages":[{"role":"user","content":"Short answer, please."}]}' \
        -H 'X-Request-Id: quick-urgent'
    ask 22402 "$key" '{"model":"auto","max_tokens":8,"messages":[{"role":"user","content":"Draft a report."}]}' \
        -H 'X-Request-Id: quick-normal'
    ask 22403 "$key" '{"model":"auto","max_tokens":3,"service_tier":"flex","messages":[{"role":"user","content":"Tag this note."}]}' \
        -H 'X-Request-Id: quick-flex'

    say "$deployment: a booking that may not be repeated, and its repeat at another daemon"
    for n in 1 2; do
        curl -sS -i "http://127.0.0.1:2240$n/services/$service/book" -H "Authorization: Bearer $key" \
            -H 'Idempotency-Key: quick-booking' -d '{"slot":1}' | grep -iE '^(HTTP|idempotent|\{)'
        echo
    done

    say "$deployment: why the urgent request went where it went"
    "${ctl[@]}" explain quick-urgent

    say "$deployment: an edit, in force on every daemon"
    "${ctl[@]}" table set weights "$weight" weight=3
    sleep 1
    "${ctl[@]}" status

    say "$deployment: bills"
    wait_for 15 bash -c "curl -fsS 'http://$platform/objects?prefix=bills/' | grep -q quick-flex"
    "${ctl[@]}" bills

    say "$deployment: graceful end"
    stop_all
}

show trust fairs-south-1 decisions fairs-south:assessor-mid-5 hobart kingston
show brandauer depot-simmering-1 pickups depot-simmering:dossier-mid-2 simmering favoriten
say "done"
