#!/usr/bin/env bash
# Fails where a name of the platform's wire stands outside platform/ and deploy/ (pages excepted), or
# where platform/ has grown beyond a tenth of src/.
set -euo pipefail
cd "$(dirname "$0")/.."

# X-Attempt-Id and X-Deadline-Ms are names of the product's own interface as well.
names='x-response-stamp|x-not-run|x-prompt-prefix|x-token-count|x-request-urgency|x-expect-instance'
names+='|x-expect-version|x-confidence|x-kv-backup|x-pin-ms|kv-from|kv-fetch|/acaciasail/objects'
names+='|PathPrefix|TimeoutMs"|TargetLatencyMs|MaxAttempts|ApiKeys|TrafficSplit|StoreRevision|RampS'
names+='|ColdLeftMs|GapTargetMs|KvCapacity'
found=$(git grep -nIE "$names" -- src standins scenarios soak bench proto cmake examples || true)
if [ -n "$found" ]; then
    echo "names of the platform's wire outside platform/ and deploy/:"
    echo "$found"
    exit 1
fi

lines() { git ls-files "$1" | grep -E '\.(cpp|h)$' | tr '\n' '\0' | xargs -0 cat | wc -l; }
adapter=$(lines 'platform/*')
product=$(lines 'src/*')
echo "platform/ has $adapter lines, src/ has $product"
[ $((adapter * 10)) -le "$product" ]
