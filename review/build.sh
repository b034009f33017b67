#!/usr/bin/env bash
# Builds the scripts of the review and the stand-ins that they start, into build/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build/review -G Ninja >/dev/null
cmake --build build/review
