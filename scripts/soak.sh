#!/bin/bash
# Runs the fault soak with the seeds FIRST to LAST, JOBS (default 4) at a time.
# Prints the seeds that failed and a summary of the violations.
# Usage: [JOBS=N] scripts/soak.sh FIRST LAST [SECONDS] [ROUTERS]
set -u
cd "$(dirname "$0")/.."
first=$1
last=$2
seconds=${3:-25}
routers=${4:-4}
out=$(mktemp -d)
run() {
  mkdir -p "$out/$1"
  build/bin/corianderpost-soak --seed "$1" --seconds "$seconds" \
    --routers "$routers" --network $(($1 % 250 + 1)) \
    --router build/bin/corianderpost-router --folder "$out/$1" \
    >"$out/$1/result" 2>&1 || echo "seed $1 failed; see $out/$1"
}
export -f run
export seconds routers out
seq "$first" "$last" | xargs -P "${JOBS:-4}" -I{} bash -c 'run {}'
grep -h violations "$out"/*/result | sort | uniq -c
