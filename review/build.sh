#!/usr/bin/env bash
# Builds the stand-ins of the scripts; needs no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --quiet --manifest-path review/standin/Cargo.toml \
    --target-dir target/review
