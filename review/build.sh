#!/bin/bash
# Builds the stand-ins that the scripts start. Needs no network once the deploy file's build has run.
set -e
cd "$(dirname "$0")/.."
options="--release --locked --manifest-path review/standin/Cargo.toml --target-dir target/review"
cargo build --offline $options || cargo build $options
