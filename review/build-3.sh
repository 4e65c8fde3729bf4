#!/usr/bin/env bash
# Builds the stand-ins of the third review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin3 ./review/standin3
