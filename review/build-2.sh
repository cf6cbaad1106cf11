#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10 into target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-ins-2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -o "target/review-2/$name" "$source" $(pkg-config --cflags --libs cpp-httplib) -pthread &
    builds+=($!)
done
for build in "${builds[@]}"; do
    wait "$build"
done
