#!/bin/bash
# Runs clang-tidy on all source files, one process per core.
set -eu
cd "$(dirname "$0")/.."
git ls-files 'src/*.cc' 'platform/*.cc' 'tests/*.cc' |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build 2>/dev/null
