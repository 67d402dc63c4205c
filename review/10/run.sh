#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/rainhaven ] || [ ! -x bin/review-2/newcomer ] || [ ! -x bin/review-2/rainhaven ]; then
	echo "build first: the deploy file's build, then review/build-2.sh"
	exit 2
fi
exec bin/review-2/newcomer review/10
