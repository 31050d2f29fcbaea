#!/usr/bin/env bash
# Builds the stand-ins of the scripts with the compiler alone: no package, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-ins review/stand-ins.rs
