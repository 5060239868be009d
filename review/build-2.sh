#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review; needs the toolchain only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin review/standin-2/main.rs
