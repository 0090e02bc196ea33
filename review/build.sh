#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts, from the crates of the repository's Cargo.lock.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
