#!/bin/sh
# Builds the stand-ins and drivers of the cases 6 to 10, without a network: they use the standard
# library alone.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
