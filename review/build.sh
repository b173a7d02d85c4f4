#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts into review/out/, from the packages that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/out
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Wno-mismatched-new-delete -Ipackages/base/src -Ipackages/http/src \
    review/standin/*.cpp packages/base/src/*.cpp packages/http/src/*.cpp -pthread -o review/out/standin
