# Shared by the scripts that run real processes; sourced, not run.

# The processes that this script started, by name.
declare -A pid

# Usage: start NAME COMMAND...; the output goes to $out/NAME.out.
start() {
  local name=$1
  shift
  "$@" >>"$out/$name.out" 2>&1 &
  pid[$name]=$!
}

# Ends what was started, also what is paused, and waits for it.
stop_all() {
  kill -CONT "${pid[@]}" 2>/dev/null
  kill -TERM "${pid[@]}" 2>/dev/null
  wait "${pid[@]}" 2>/dev/null
}

# Usage: await URL; ends the script if there is no good answer in 15 s.
await() {
  local i
  for ((i = 0; i < 150; i++)); do
    curl -sf "$1" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "no answer from $1; see $out" >&2
  exit 1
}
