#!/usr/bin/env bash
# Builds what the cases 6 to 10 start: each review/N/src/case.cpp becomes review/build/N. Run after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
for Source in review/*/src/case.cpp; do
  Number=$(basename "$(dirname "$(dirname "$Source")")")
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -Ireview/standins/src -o "review/build/$Number" "$Source"
done
