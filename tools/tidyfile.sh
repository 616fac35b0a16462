#!/usr/bin/env bash
# Runs clang-tidy on one file and prints only its findings.
# A file is skipped while it, the project's headers that it includes and the linter's settings are
# as they were when it last passed; the marks are kept in the build folder.
set -uo pipefail
cd "$(dirname "$0")/.."

marks=build/tidy
mkdir -p "$marks"

# Headers of the project that the file includes, as the last build found them.
headers() {
    ninja -C build -t deps 2>/dev/null |
        awk -v root="$PWD/" -v file="$1" '
            /^[^ ]/ { wanted = 0; first = 1; next }
            { path = $1; sub(root, "", path); sub("^\\.\\./", "", path) }
            first { wanted = (path == file); first = 0 }
            wanted && path !~ /^\// { print path }'
}

included=$(headers "$1")
if [ -z "$included" ]; then
    included=$(git ls-files --cached --others --exclude-standard -- '*.h')
fi
key=$({ cat .clang-tidy "$1"; echo "$included" | sort -u | xargs cat 2>/dev/null; } | sha256sum | cut -c1-32)
mark="$marks/$(echo "$1" | tr '/' '_').$key"
[ -f "$mark" ] && exit 0

output=$(clang-tidy -p build --quiet "$1" 2>/dev/null)
status=$?
if [ "$status" -ne 0 ]; then
    echo "$output"
    exit 1
fi
rm -f "$marks/$(echo "$1" | tr '/' '_')".*
touch "$mark"
