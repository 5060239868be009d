#!/usr/bin/env bash
# Builds the stand-ins and the cases 11 to 15. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
