#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs. Output: target/review/.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
java_home=$("$root/bin/find-jdk")
mkdir -p target/review
sources=$(find review -name '*.java')
"$java_home/bin/javac" -nowarn -d target/review $sources
