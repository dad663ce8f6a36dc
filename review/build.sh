#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review. Run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp 'target/lib/*' review/standins/*.java
