#!/usr/bin/env bash
# Builds the stand-ins of the review cases 12 to 15. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-3/Cargo.toml --target-dir target/review-stand-ins-3
