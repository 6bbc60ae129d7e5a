#!/bin/sh
# Compiles the stand-ins of the cases; to be run after the build of the deploy file. Needs the JDK alone, no network.
here=$(cd "$(dirname "$0")" && pwd) || exit 1
rm -rf "$here/classes"
exec javac -d "$here/classes" "$here"/standins/*.java
