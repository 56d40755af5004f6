#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
program=review/standins-3/target/release/removed_machines
[ -x "$program" ] && [ -x target/release/sniperelay ] || { echo "not built"; exit 2; }
exec "$program" "$folder"
