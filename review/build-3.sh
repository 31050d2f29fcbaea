#!/usr/bin/env bash
# Builds the stand-ins of the third review, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand-ins-3 review/stand-ins-3.rs
