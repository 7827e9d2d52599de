#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/, after the build of the deploy file.
set -e
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target
GOTOOLCHAIN=local GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/stand2 .
