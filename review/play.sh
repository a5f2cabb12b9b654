#!/usr/bin/env bash
# Plays the case NAME and writes record.txt into its folder: play.sh FOLDER NAME. TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
for program in target/filbertturn target/review/standin; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of deploy/system.toml and review/build.sh" >&2
    exit 2
  fi
done
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
exec target/review/standin --case "$2" --folder "$folder" --trouble="$trouble" ${LOGS:+--logs "$LOGS"}
