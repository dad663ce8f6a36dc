#!/bin/sh
# Plays the case; see claim.txt. The deploy file's build and review/build-2.sh come before. TROUBLE=0 leaves the
# disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
if [ ! -f "$root/target/review-2/Orphan.class" ] || [ ! -f "$root/target/cicadagauge.jar" ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
cd "$root" || exit 2
exec java -Xmx512m -cp target/review-2 Orphan "$root" "$here"
