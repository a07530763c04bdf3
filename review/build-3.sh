#!/bin/bash
# Builds the stand-ins that the scripts of this review start: its own, and those of the second review
# that case 13 plays. They have no dependencies.
set -e
cd "$(dirname "$0")/.."
(cd review/standins-3 && cargo build --release --locked --offline)
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
