#!/bin/bash
# Builds the tests of the cases with their stand-ins. The project's programs are built by the deploy file's command.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for case in [0-9]; do
    rustc --edition 2024 -O -o "bin/case-$case" "$case/test.rs"
done
