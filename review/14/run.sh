#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/era ] && [ -x target/dogwoodford ] || { echo "build the program and review/build-3.sh first" >&2; exit 2; }
exec target/review-3/era target/dogwoodford review/14/record.txt
