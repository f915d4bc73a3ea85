#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start. Run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin ./review/platform
