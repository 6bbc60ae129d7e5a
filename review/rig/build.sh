#!/bin/sh
# Builds the stand-ins of this folder with the JDK alone, into target/review/rig.
set -e
here=$(cd "$(dirname "$0")" && pwd)
out=$here/../../target/review/rig
mkdir -p "$out"
javac -Xlint:all,-serial,-this-escape -d "$out" "$here"/*.java 2>/dev/null || javac -d "$out" "$here"/*.java
