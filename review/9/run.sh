#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
program=review/standins-2/target/release/review-standins-2
[ -x "$program" ] && [ -x target/release/sniperelay ] || { echo "not built"; exit 2; }
STARTED=$(mktemp)
export STARTED
timeout 110 "$program" limited-partition "$folder/record.txt"
code=$?
if [ "$code" -gt 2 ]; then
  # The stand-ins were ended before they could end the entry VMs.
  while read -r process; do kill -KILL "$process" 2>/dev/null; done < "$STARTED"
  code=2
fi
rm -f "$STARTED"
exit "$code"
