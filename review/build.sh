#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into review/build/. Needs the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in */case.cpp; do
  number=$(dirname "$source")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Isupport "$source" -o "build/case-$number"
done
