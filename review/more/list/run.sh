#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
REPO=$(cd "$here/../../.." && pwd) || exit 2
export REPO
[ -f "$REPO/target/amberroute.jar" ] && [ -d "$here/../../classes" ] || { echo "build first: deploy file, then review/build.sh" >&2; exit 2; }
java -Xmx256m -cp "$here/../../classes" CaseList "$here/record.txt"
code=$?
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
exit "$code"
