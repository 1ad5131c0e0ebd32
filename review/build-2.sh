#!/usr/bin/env bash
# Builds the stand-ins and drivers of the second review's cases. They need the standard library
# alone, so the build needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/stand-ins-2/main.rs
