#!/usr/bin/env bash
# Builds the stand-ins of the cases of REPORT-3.md.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o out/standin3 ./review/standin3
