#!/bin/bash
# Builds the stand-ins of the third review, and the project's own programs if they are not built yet.
# It needs nothing but the compiler.
cd "$(dirname "$0")/.." || exit 1
if [ ! -x target/release/almondroad-node ]; then
    cargo build --release -p almondroad-platform || exit 1
fi
mkdir -p target/review-3 || exit 1
rustc --edition 2024 -O -o target/review-3/review3-cases review/standin-3/main.rs
