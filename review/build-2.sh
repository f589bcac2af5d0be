#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o target/review-2 ./review/rig-2
