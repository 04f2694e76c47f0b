#!/usr/bin/env bash
# Builds every stand-in that the scripts in review/6 to review/10 start, in target/review-2/. To be run after the build of
# the deploy file, whose static libraries in target/ it links.
set -eu
cd "$(dirname "$0")/.."
cmake -G Ninja -S review/standins-2 -B target/review-2 >/dev/null
ninja -C target/review-2
