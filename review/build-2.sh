#!/bin/sh
# Builds every stand-in that a script of the second review starts. They need nothing but the toolchain.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
