#!/usr/bin/env bash
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../play.sh" "$here" crash
