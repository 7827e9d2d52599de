#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -C review/stand-2 -o ../../target/stand2 .
