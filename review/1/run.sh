#!/bin/sh
# A searcher rejects an order and sends a late second copy of the rejection.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/wisteriaquay ] || { echo "build the deploy file and run review/build.sh first" >&2; exit 2; }
exec review/bin/standin copy review/1/record.txt
