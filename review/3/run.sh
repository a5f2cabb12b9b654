#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
exec "$here/../play.sh" "$here" cut "$trouble"
