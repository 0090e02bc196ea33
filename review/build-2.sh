#!/bin/sh
# Builds the stand-ins and clients that the scripts of the cases 6 to 10 start. They use the standard library
# only, so that nothing is fetched.
set -eu
folder=$(cd "$(dirname "$0")" && pwd)
cargo build --release --locked --offline --manifest-path "$folder/harness-2/Cargo.toml" \
    --target-dir "$folder/../target/review-2"
