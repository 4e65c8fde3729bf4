#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../bin/review-cases .
