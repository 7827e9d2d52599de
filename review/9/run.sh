#!/bin/sh
# With TROUBLE=0 the disruption is left out. Exit code: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dogwoodford ] && [ -x target/stand2 ] || exit 2
case "${TROUBLE:-1}" in
0) trouble=0 ;;
*) trouble=1 ;;
esac
exec target/stand2 leave review/9/record.txt "$trouble"
