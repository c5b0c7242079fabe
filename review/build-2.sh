#!/bin/sh
# Builds the stand-ins of the cases of REPORT-2.md, without dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O review/harness-2/main.rs -o target/review-2/harness
