#!/bin/bash
# Runs clang-tidy over all sources, several at once.
set -eu
cd "$(dirname "$0")/.."
git ls-files 'src/*.cc' 'platform/*.cc' 'tests/*.cc' |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build 2>/dev/null
