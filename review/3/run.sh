#!/bin/sh
# Case 3. Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/maddergap ] && [ -x bin/review/stop ] || exit 2
exec bin/review/stop review/3
