#!/bin/bash
# Runs five routers as real processes under load and does to them what fails in
# practice; checks answers, once-only work and cold targets by the stand-ins'
# own counts. Timed by the machine's clock, so it is no part of the tests.
set -u
cd "$(dirname "$0")/.."
bin=$PWD/build/bin
out=$PWD/demo-out/faults
rm -rf "$out"
mkdir -p "$out"
failures=0
. scripts/lib.sh
trap stop_all EXIT
say() { echo "$((SECONDS - began)) s: $*"; }
check() {
  local what=$1
  shift
  if "$@"; then echo "ok: $what"; else echo "FAILED: $what"; failures=$((failures + 1)); fi
}
stat_of() { curl -s "http://127.0.0.1:$1/stats" | sed -E "s/.*\"$2\":([0-9]+).*/\1/"; }

zones=(colombo negombo kandy)
listen=()
vms=""
for i in 0 1 2 3 4 5 6 7 8; do
  listen+=(--listen "127.0.0.1:$((17100 + i))")
  vms+="{\"name\":\"engine-$i\",\"role\":\"target\",\"service\":\"badge-assistant\",\"zone\":\"${zones[$((i % 3))]}\",\"address\":\"127.0.0.1:$((17100 + i))\"},"
done
vms+="{\"name\":\"ledger-0\",\"role\":\"target\",\"service\":\"badge-ledger\",\"zone\":\"colombo\",\"address\":\"127.0.0.1:17200\"}"
routers=(0 1 2 3 4)
for i in "${routers[@]}"; do
  vms+=",{\"name\":\"router-$i\",\"role\":\"router\",\"zone\":\"${zones[$((i % 3))]}\",\"address\":\"127.0.0.1:$((17010 + i))\",\"peer_address\":\"127.0.0.1:$((17020 + i))\"}"
done
cp -r samples/ranwala "$out/files"
"$bin/corianderpost-collect" "$out/files" --out "$out/bundle.json" || exit 1
sed 's/{name: negombo, region: western, state: in}/{name: negombo, region: western, state: out}/' \
  -i "$out/files/platform.corianderpost.yaml"
"$bin/corianderpost-collect" "$out/files" --out "$out/without-negombo.json" --diff "$out/bundle.json" || exit 1

start configuration "$bin/corianderpost-standins" configuration --listen 127.0.0.1:17001
start vms "$bin/corianderpost-standins" vms --listen 127.0.0.1:17002
start engines "$bin/corianderpost-standins" engine "${listen[@]}"
start ledger "$bin/corianderpost-standins" service --listen 127.0.0.1:17200
await http://127.0.0.1:17001/stats
await http://127.0.0.1:17200/stats
publish() { curl -sf -X PUT --data-binary "@$1" http://127.0.0.1:17001/publish >/dev/null; }
publish "$out/bundle.json"
curl -s -X PUT --data "{\"revision\":1,\"vms\":[$vms]}" http://127.0.0.1:17002/publish
router() {
  local i=$1
  cat >"$out/router-$i.yaml" <<Y
vm: router-$i
zone: ${zones[$((i % 3))]}
listen: 127.0.0.1:$((17010 + i))
peer_listen: 127.0.0.1:$((17020 + i))
admin_port: $((17030 + i))
configuration: 127.0.0.1:17001
vm_list: 127.0.0.1:17002
log_file: $out/router-$i.jsonl
Y
  start "router-$i" "$bin/corianderpost-router" --settings "$out/router-$i.yaml"
}
for i in "${routers[@]}"; do router "$i"; done
for i in "${routers[@]}"; do await "http://127.0.0.1:$((17010 + i))/health"; done

{
  echo "routers: ['127.0.0.1:17010', '127.0.0.1:17011', '127.0.0.1:17012', '127.0.0.1:17013', '127.0.0.1:17014']"
  echo "seconds: 105"
  echo "mean_tokens: 40"
  echo "sources:"
  for club in colombo-central:60 negombo-lagoon:40 kandy-lakeside:10 galle-fort:5; do
    echo "  - {customer: ${club%:*}, key: key-of-${club%:*}, model: badge-assistant, rate: ${club#*:}}"
  done
  echo "  - {customer: club-office, key: key-of-club-office, path: /services/badge-ledger/badges, rate: 8}"
} >"$out/load.yaml"
began=$SECONDS
"$bin/corianderpost-load" --settings "$out/load.yaml" --seed 7 --csv "$out/calls.csv" >"$out/table" &
load=$!

sleep 5
say "router 1 is ended abruptly"
kill -KILL "${pid[router-1]}"
wait "${pid[router-1]}" 2>/dev/null
sleep 5
router 1
say "router 1 starts again with no memory"
await http://127.0.0.1:17011/health
say "router 1 is ready"
say "router 2 is paused for 20 s; an engine crashes and comes back cold"
kill -STOP "${pid[router-2]}"
curl -s -X POST -d '{"kind":"crash"}' http://127.0.0.1:17104/fault
sleep 20
kill -CONT "${pid[router-2]}"
say "router 2 wakes"
sleep 3
say "the configuration service is away for 20 s"
curl -s -X POST -d '{"kind":"down"}' http://127.0.0.1:17001/fault
sleep 20
check "all routers work on through the outage" [ "$(for i in "${routers[@]}"; do curl -s "http://127.0.0.1:$((17010 + i))/health"; done | grep -c '^ready')" = 5 ]
curl -s -X POST -d '{"kind":"up"}' http://127.0.0.1:17001/fault
sleep 2
say "zone negombo is taken out"
publish "$out/without-negombo.json"
sleep 5
zone_runs() { local sum=0 i; for i in 1 4 7; do sum=$((sum + $(stat_of $((17100 + i)) executions))); done; echo "$sum"; }
at_5s=$(zone_runs)
sleep 10
check "no new work in the zone from 5 s after the change on" [ "$(zone_runs)" = "$at_5s" ]
check "every router works under revision 2" [ "$("$bin/corianderpost-ctl" versions --router 127.0.0.1:17030 --router 127.0.0.1:17031 --router 127.0.0.1:17032 --router 127.0.0.1:17033 --router 127.0.0.1:17034 | grep -c 'revision 2')" = 5 ]
say "zone negombo comes back, its engines cold"
for i in 1 4 7; do curl -s -X POST -d '{"kind":"crash"}' "http://127.0.0.1:$((17100 + i))/fault"; done
publish "$out/bundle.json"
sleep 12
check "the zone serves again" [ "$(zone_runs)" -gt "$at_5s" ]
say "router 0 drains"
kill -TERM "${pid[router-0]}"
wait "${pid[router-0]}"
check "router 0 stopped by itself" [ $? = 0 ]
wait $load
check "no answer was wrong" [ $? = 0 ]
cat "$out/table"
check "no once-only work ran twice" [ "$(stat_of 17200 most_times)" -le 1 ]
overloads=0
for i in 0 1 2 3 4 5 6 7 8; do overloads=$((overloads + $(stat_of $((17100 + i)) overloads))); done
check "no cold engine got more than it bears (overloads: $overloads)" [ "$overloads" = 0 ]
check "no invariant was violated" [ "$(cat "$out"/router-*.jsonl | grep -c 'invariant violated')" = 0 ]
exit $((failures > 0))
