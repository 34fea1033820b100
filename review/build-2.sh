#!/bin/sh
# Builds what the cases of the second review start: the project's programs, and each case into review/bin/2-N.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline 2>/dev/null || cargo build --release --locked
mkdir -p review/bin
for n in 6 7 8 9 10; do
    test -f "review/$n/test.rs" || continue
    rustc --edition 2024 -O -o "review/bin/2-$n" "review/$n/test.rs"
done
