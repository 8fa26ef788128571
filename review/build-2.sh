#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with their stand-ins, into target/review-2. The build of deploy/system.toml
# comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -f "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -pthread -Wall -Wextra "$source" -o "target/review-2/case-$number"
done
