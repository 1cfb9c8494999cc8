#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the tenant and its key stay, under a
# new version. TROUBLE=keys, for comparison: the tenant stays and loses its key. Takes 9 s.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/build/7 ] && [ -x target/apps/coltsfoottraild/coltsfoottraild ] || exit 2
timeout -k 2 60 review/build/7 review/7/record.txt
Code=$?
[ "$Code" = 0 ] || [ "$Code" = 1 ] || Code=2
exit "$Code"
