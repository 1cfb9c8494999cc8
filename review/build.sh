#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for Source in */*.cpp; do
  Case="$(dirname "$Source")"
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -Icommon "$Source" -o "build/case-$Case"
done
