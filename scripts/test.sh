#!/bin/bash
# Runs the tests of an existing build, except those that KNOWN-RED.txt lists as
# "- ctest NAME: ...".
set -eu
cd "$(dirname "$0")/.."
known_red=$(sed -n 's/^- ctest \([A-Za-z0-9_-]*\):.*/\1/p' KNOWN-RED.txt | paste -sd'|')
if [[ -n $known_red ]]; then
  echo "left out, known to be red: $known_red"
  exec ctest --test-dir build --output-on-failure -E "^($known_red)\$"
fi
exec ctest --test-dir build --output-on-failure
