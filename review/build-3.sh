#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3/, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand-ins-3 -B target/review-3 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-3 -j4 --target review_case
