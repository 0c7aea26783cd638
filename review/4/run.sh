#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. The build of the deploy file and review/build-2.sh go first.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/review/programs-2/bin/case-part
if [ ! -x "$program" ] || [ ! -x "$root/target/arbutus-entry" ]; then
  echo "not built" >&2
  exit 2
fi
export TROUBLE=${TROUBLE:-1}
exec "$program" "$folder" "$root"
