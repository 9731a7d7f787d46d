#!/bin/bash
# Builds the stand-ins of all cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/main.cc; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -pthread -Ireview/standins \
    "$source" review/standins/standins.cc -o "target/review/case-$name"
done
