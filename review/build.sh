#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts; needs only the Rust compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/rig.rs
