#!/usr/bin/env bash
# Runs every test of the workspace. Tests listed in KNOWN-RED.txt run last and do not count; what
# they say is printed.
set -euo pipefail
cd "$(dirname "$0")/.."
export CARGO_TERM_COLOR="${CARGO_TERM_COLOR:-never}" INSTA_UPDATE=no
red=()
while IFS='|' read -r name _; do
    case "$name" in '#'* | '') ;; *) red+=("${name%% *}") ;; esac
done <KNOWN-RED.txt
skip=()
for name in "${red[@]}"; do skip+=(--skip "$name"); done
status=0
cargo test --workspace --no-fail-fast -- "${skip[@]}" || status=$?
for name in "${red[@]}"; do
    echo "known red, not counted: $(grep "^$name " KNOWN-RED.txt)"
    if said=$(cargo test --quiet --workspace --no-fail-fast -- --exact "$name" 2>&1); then
        echo "known red, now green: $name; take it out of KNOWN-RED.txt"
    else
        echo "says now: $(grep -A2 "panicked at" <<<"$said" | grep -m1 -v -e panicked -e '^--')"
    fi
done
exit "$status"
