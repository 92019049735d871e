#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: the driver, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc --edition 2021 -O -o target/review/driver review/support/driver.rs
