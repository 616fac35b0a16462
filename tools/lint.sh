#!/usr/bin/env bash
# Checks formatting and runs clang-tidy.
#   tools/lint.sh            all files
#   tools/lint.sh --changed  the files that differ from the branch main or are not committed
#   tools/lint.sh --fix      formats all files, and runs no linter
set -euo pipefail
cd "$(dirname "$0")/.."

sources() {
    git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' | grep -v '\.pb\.' | while read -r file; do
        [ -f "$file" ] && echo "$file"
    done
}

case "${1:-}" in
--fix)
    sources | xargs -r clang-format -i
    exit 0
    ;;
--changed)
    changed=$({ git diff --name-only main; git ls-files --others --exclude-standard; } | sort -u)
    files=$(sources | grep -Fxf <(echo "$changed") || true)
    ;;
*)
    files=$(sources)
    ;;
esac
[ -n "$files" ] || exit 0

echo "$files" | xargs -r clang-format --dry-run -Werror
[ -f build/compile_commands.json ] || cmake --preset release >/dev/null
status=0
echo "$files" | grep '\.cpp$' | xargs -r -P "${ACACIASAIL_JOBS:-$(nproc)}" -n 1 tools/tidyfile.sh || status=1
exit "$status"
