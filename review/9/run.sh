#!/bin/bash
# Runs the case once: 1 the rule was broken, 0 it held, 2 it could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -f "$root/target/amberroute.jar" ] || [ ! -d "$root/review/standins-2/target/rig" ]; then
    echo "build the project and run review/build-2.sh first"
    exit 2
fi
work=$(mktemp -d "${TMPDIR:-/tmp}/case.XXXXXX") || exit 2
timeout -k 3 115 java -Xmx384m -cp "$root/review/standins-2/target" rig.SecondCopy "$root" "$work" "$here/record.txt"
code=$?
rm -rf "$work"
[ "$code" -le 1 ] && exit "$code"
exit 2
