#!/bin/sh
# Builds the stand-ins and drivers of the cases 6 and 7, without a network: they use the standard
# library alone. Those of the cases 8 to 10 are Python programs, also of the standard library alone;
# they are only checked.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
for file in review/standins-2/site2.py review/8/case.py review/9/case.py review/10/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="ascii").read())' "$file"
done
