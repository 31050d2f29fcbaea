#!/bin/sh
# Builds the stand-ins of the scripts of the second review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-ins-2 review/stand-ins-2.rs
