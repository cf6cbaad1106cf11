#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf bin && mkdir bin
for source in [1-5]/case.cpp; do
    case=$(dirname "$source")
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "bin/case-$case" "$source" &
done
wait
for source in [1-5]/case.cpp; do
    [ -x "bin/case-$(dirname "$source")" ]
done
