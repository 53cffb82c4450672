#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3 ] && [ -x target/lavenderwing ] || { echo "build first: the deploy file's build and review/build-3.sh" >&2; exit 2; }
exec target/review3 -case cancel -record review/13/record.txt
