#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec c++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o target/review-2/play \
  review/standins-2/*.cc
