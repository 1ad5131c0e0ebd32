#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/stand-ins"
cargo build --release --locked --offline --target-dir target
