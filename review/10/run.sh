#!/bin/sh
# Plays case 10 against a head of the deploy file. Needs the build of the deploy file and review/build-2.sh. Exits with
# 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/second ] && [ -x bin/maddergap ] || exit 2
exec bin/second leave review/10/record.txt
