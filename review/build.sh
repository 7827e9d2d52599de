#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOTOOLCHAIN=local GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-stand .
