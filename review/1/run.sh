#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
# TROUBLE=0 does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
Folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$Folder"' EXIT
timeout -k 5 110 ../build/case-1 ../../target/apps/coltsfoottraild/coltsfoottraild "$Folder" record.txt
Code=$?
[ "$Code" -le 1 ] && exit "$Code"
exit 2
