#!/usr/bin/env bash
# Builds the stand-ins of the cases 12 to 15. The gateway is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin3 ./review/standin3
