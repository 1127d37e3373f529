#!/bin/sh
# Builds the stand-ins of the cases of the third review, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases-3 review/cases-3.rs
