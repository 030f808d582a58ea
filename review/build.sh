#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They are left out of other builds by a build tag.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
