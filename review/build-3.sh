#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, into target/review-3/.
set -e
cd "$(dirname "$0")/stand-3"
mkdir -p ../../target/review-3
GOTOOLCHAIN=local GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-3/ ./...
