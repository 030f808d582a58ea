#!/usr/bin/env bash
# Builds the stand-ins that the script in review/7 starts. The build of deploy/system.toml must have run.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2 ./review/standin2
