#!/usr/bin/env bash
# Builds the stand-ins of the review cases, one program a case, into target/review/. Run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.cc; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins -o "target/review/case$number" "$source"
done
