#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/review-2 ./review/rig-2
