#!/usr/bin/env bash
# Builds what the cases start, after the build of the deploy file and with its packages alone: the project's stand-in
# store and the programs of the cases. They are in target/review.
set -eu
cd "$(dirname "$0")/.."
cmake -G Ninja -S review/standins -B target/review -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
ninja -C target/review
