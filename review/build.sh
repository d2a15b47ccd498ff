#!/usr/bin/env bash
# Builds the stand-in that the scripts start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
