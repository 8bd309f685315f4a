#!/bin/sh
# Builds the stand-ins and drivers of the cases in review/9 to review/13. Needs the standard library
# alone, and no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/lib-3/Cargo.toml --target-dir target/review-3
