#!/bin/bash
# Prints the fleet's and the data plane's measurements as CSV.
set -eu
cd "$(dirname "$0")/.."
for what in service zone slopes; do
  echo "# corianderpost-bench $what --seed 1"
  build/bin/corianderpost-bench "$what" --seed 1
done
echo "# scripts/dataplane.sh"
scripts/dataplane.sh
