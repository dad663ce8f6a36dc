#!/bin/sh
# Builds the stand-ins of the second review. It needs only a JDK.
set -eu
root="$(cd "$(dirname "$0")/.." && pwd)"
mkdir -p "$root/target/review-2"
javac --release 17 -d "$root/target/review-2" "$root"/review/standins-2/*.java
