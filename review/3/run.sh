#!/bin/sh
# Plays the case and writes record.txt beside this script: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/rainhaven ] && [ -x bin/review/3 ] || { echo "run the build of the deploy file and review/build.sh first"; exit 2; }
exec bin/review/3 review/3/record.txt
