#!/bin/sh
# Builds the stand-ins that the scripts of the cases 4 to 8 start. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/lib-2/Cargo.toml --target-dir target/review-2
