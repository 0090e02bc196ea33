#!/bin/sh
# Builds the stand-ins and clients that the scripts of the cases 6 to 10 start. harness-2 uses the standard library only;
# harness-3 uses crates that the programs of the deploy file are built of, in the versions of the repository's Cargo.lock,
# so that nothing is fetched.
set -eu
folder=$(cd "$(dirname "$0")" && pwd)
for harness in 2 3; do
    cargo build --release --locked --offline --manifest-path "$folder/harness-$harness/Cargo.toml" \
        --target-dir "$folder/../target/review-$harness"
done
