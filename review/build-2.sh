#!/usr/bin/env bash
# Builds the case programs of the second review, which contain all stand-ins that they start, to target/review-2/.
# Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cc; do
    if [[ -e $source ]]; then
        number=$(basename "$(dirname "$source")")
        g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/case-$number" "$source"
    fi
done
