#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. The product itself is built by the command in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for standins in standins-2 standins-3; do
  (cd "$standins" && cargo build --release --locked)
done
