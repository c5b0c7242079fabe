#!/usr/bin/env bash
# Builds the stand-ins, clients and checks of the cases. Needs no network after the build of the
# deploy file: all libraries are those of the daemon.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
