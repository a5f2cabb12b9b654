#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The node itself is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o out/standin2 ./review/standin2
