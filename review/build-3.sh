#!/usr/bin/env bash
# Builds what the scripts of the third review start, besides the daemon that the
# build of the deploy file makes. Needs a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for source in review/lab-3/*.cc; do
  name=$(basename "$source" .cc)
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread "$source" \
    -o "build/review-3/$name"
done
