#!/usr/bin/env bash
# Starts a small deployment on this machine, shows one streamed answer, and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --workspace
bin=target/debug
dir=$(mktemp -d)
pids=()
stop() {
    kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$dir"
}
trap stop EXIT

echo "--- starting the stand-in platform, three engines and two booking servers"
"$bin/wasabistall-standin" all "$dir" >"$dir/platform.out" 2>"$dir/platform.log" &
pids+=($!)
until grep -qs ready "$dir/platform.out"; do sleep 0.1; done

echo "--- starting three instances"
for instance in 1 2 3; do
    "$bin/wasabistalld" "$dir/instance-$instance.jsonc" 2>"$dir/instance-$instance.log" &
    pids+=($!)
done
export WASABISTALL_DEPLOYMENT="$dir/deployment.json"
"$bin/wasabistall" config follow --until 1

echo "--- asking as a caller of the team elders"
key=$(sed -n 's/.*"elders": "\(ws_[^"]*\)".*/\1/p' "$dir/deployment.json")
# Instances admit requests two seconds after their start.
until answer=$("$bin/wasabistall" ask nyota-7b:elders-1 "Which clan tells this story?" \
    --key "$key" --max-tokens 6 2>/dev/null); do sleep 0.5; done
echo "$answer"

echo "--- what was counted, and who schedules what"
"$bin/wasabistall" usage --by team
"$bin/wasabistall" status
