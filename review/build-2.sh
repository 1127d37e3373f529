#!/usr/bin/env bash
# Builds the stand-ins of the second review with the compiler alone: no crates, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig-2.rs
