#!/usr/bin/env bash
# Builds the programs of the review's scripts into review/build/. The daemon is
# built by the command of the deploy file before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
for scene in review/[1-5]/scene.cc; do
  [ -e "$scene" ] || continue
  number=$(basename "$(dirname "$scene")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. -o "review/build/scene$number" \
    "$scene" tests/platform/standin/in_memory_store.cpp &
done
wait
for scene in review/[1-5]/scene.cc; do
  [ ! -e "$scene" ] ||
    test -x "review/build/scene$(basename "$(dirname "$scene")")"
done
