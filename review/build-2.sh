#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Needs the Rust toolchain only, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -A dead_code -o target/review-2/stand-in review/support-2/main.rs
