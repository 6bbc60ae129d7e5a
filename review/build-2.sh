#!/bin/bash
# Builds the stand-ins of review/6 to review/10 with the JDK alone. After the build of the deploy file; needs no network.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/standins-2/target"
javac -Xlint:all -d "$here/standins-2/target" "$here"/standins-2/src/rig/*.java
