#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
Case=review/6
[ -x review/build/6 ] && [ -x target/apps/coltsfoottraild/coltsfoottraild ] || exit 2
Folder=$(mktemp -d) || exit 2
review/build/6 "$Folder" "$Case/record.txt"
Code=$?
rm -rf "$Folder"
[ "$Code" = 0 ] || [ "$Code" = 1 ] || Code=2
exit "$Code"
