#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/7 to review/9 start. The build of deploy/system.toml must have run.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2 ./review/standin2
