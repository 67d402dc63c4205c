#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
# What was sent, answered and run is written to record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
record=review/7/record.txt
if [ ! -x bin/rainhaven ] || [ ! -x bin/review-2/retrack ] || [ ! -x bin/review-2/rainhaven ]; then
	echo "could not run: build first: the deploy file's build, then review/build-2.sh" | tee $record
	exit 2
fi
exec bin/review-2/retrack $record
