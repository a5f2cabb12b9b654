#!/usr/bin/env bash
# Plays a case, with the disruption or without it: play.sh FOLDER NAME true|false. LOGS names a folder that gets the logs
# of the nodes.
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
for program in target/filbertturn target/review/standin; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of deploy/system.toml and review/build.sh" >&2
    exit 2
  fi
done
exec target/review/standin --case "$2" --folder "$folder" --trouble="$3" ${LOGS:+--logs "$LOGS"}
