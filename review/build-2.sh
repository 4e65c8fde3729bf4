#!/bin/sh
# Builds the stand-ins of the second review into target/review-2/.
set -eu
cd "$(dirname "$0")/standin2"
go build -buildvcs=false -o ../../target/review-2/ .
