#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the second review in target/review-2/; needs only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B target/review-2 -G Ninja >/dev/null
ninja -C target/review-2 --quiet
