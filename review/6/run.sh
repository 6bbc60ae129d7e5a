#!/bin/sh
# Plays the case of claim.txt; TROUBLE=0 leaves the disruption out. Exit code 1: rule broken, 0: held, 2: could not run.
here=$(cd "$(dirname "$0")" && pwd)
REPO=$(cd "$here/../.." && pwd)
export REPO
classes=$REPO/target/review/rig
[ -f "$classes/CaseFinalStop.class" ] && [ -f "$REPO/target/amberroute.jar" ] || {
    echo "build first: mvn -q -DskipTests package, then review/build.sh" >&2
    exit 2
}
exec java -Xmx256m -cp "$classes" CaseFinalStop "$here/record.txt"
