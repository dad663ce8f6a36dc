#!/bin/sh
# Runs one case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
if [ ! -f target/cicadagauge.jar ] || [ ! -f "target/review/review/$2.class" ]; then
  echo "build first: the command of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
exec java -Xmx384m -cp 'target/review:target/lib/*' "review.$2" "$folder/record.txt"
