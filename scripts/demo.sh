#!/bin/bash
# Runs Ranwala's example mix on three routers and stand-ins, then stops all.
set -u
cd "$(dirname "$0")/.."
bin=$PWD/build/bin
out=$PWD/demo-out
seconds=${DEMO_SECONDS:-12}
rm -rf "$out"
mkdir -p "$out"
. scripts/lib.sh
trap stop_all EXIT

zones=(colombo negombo kandy)
engines=()
vms=""
for i in 0 1 2 3 4 5; do
  engines+=(--listen "127.0.0.1:$((18100 + i))")
  vms+="{\"name\":\"engine-$i\",\"role\":\"target\",\"service\":\"badge-assistant\",\"zone\":\"${zones[$((i % 3))]}\",\"address\":\"127.0.0.1:$((18100 + i))\"},"
done
vms+="{\"name\":\"ledger-0\",\"role\":\"target\",\"service\":\"badge-ledger\",\"zone\":\"colombo\",\"address\":\"127.0.0.1:18200\"}"
for i in 0 1 2; do
  vms+=",{\"name\":\"router-$i\",\"role\":\"router\",\"zone\":\"${zones[$i]}\",\"address\":\"127.0.0.1:$((18010 + i))\",\"peer_address\":\"127.0.0.1:$((18020 + i))\"}"
done

echo "== Collecting the operators' files"
"$bin/corianderpost-collect" samples/ranwala --out "$out/bundle.json" || exit 1
"$bin/corianderpost-collect" samples/ranwala --check || exit 1

echo "== Starting stand-ins and three routers"
start configuration "$bin/corianderpost-standins" configuration --listen 127.0.0.1:18001
start vms "$bin/corianderpost-standins" vms --listen 127.0.0.1:18002
start engines "$bin/corianderpost-standins" engine "${engines[@]}"
start ledger "$bin/corianderpost-standins" service --listen 127.0.0.1:18200
await http://127.0.0.1:18001/stats
await http://127.0.0.1:18200/stats
curl -sf -X PUT --data-binary "@$out/bundle.json" http://127.0.0.1:18001/publish >/dev/null
await http://127.0.0.1:18001/configuration
curl -s -X PUT --data "{\"revision\":1,\"vms\":[$vms]}" http://127.0.0.1:18002/publish
await http://127.0.0.1:18002/vms

for i in 0 1 2; do
  cat >"$out/router-$i.yaml" <<YAML
vm: router-$i
zone: ${zones[$i]}
listen: 127.0.0.1:$((18010 + i))
peer_listen: 127.0.0.1:$((18020 + i))
admin_port: $((18030 + i))
configuration: 127.0.0.1:18001
vm_list: 127.0.0.1:18002
log_file: $out/router-$i.jsonl
YAML
  start "router-$i" "$bin/corianderpost-router" --settings "$out/router-$i.yaml"
done
for i in 0 1 2; do await "http://127.0.0.1:$((18010 + i))/health"; done

echo "== One streamed answer, through the router in Negombo"
curl -sN -H 'Authorization: Bearer key-of-galle-fort' -H 'Content-Type: application/json' \
  -d '{"model":"badge-assistant","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"Draft a report."}]}' \
  http://127.0.0.1:18011/v1/chat/completions

echo "== Ranwala's mix for $seconds s: two large clubs flood, small ones ask a little"
{
  echo "routers: ['127.0.0.1:18010', '127.0.0.1:18011', '127.0.0.1:18012']"
  echo "seconds: $seconds"
  echo "mean_tokens: 40"
  echo "sources:"
  for club in colombo-central:150 negombo-lagoon:110 kandy-lakeside:30 galle-fort:6 matara-bay:4 jaffna-north:4 kurunegala:2; do
    echo "  - {customer: ${club%:*}, key: key-of-${club%:*}, model: badge-assistant, rate: ${club#*:}}"
  done
  echo "  - {customer: club-office, key: key-of-club-office, path: /services/badge-ledger/badges, rate: 5}"
} >"$out/load.yaml"
"$bin/corianderpost-load" --settings "$out/load.yaml" --seed 1 \
  --csv "$out/calls.csv" --plot "$out/service.svg"
result=$?

echo "== Service per customer, from any router"
"$bin/corianderpost-ctl" status --router 127.0.0.1:18030 --router 127.0.0.1:18031 --router 127.0.0.1:18032
"$bin/corianderpost-ctl" customers --router 127.0.0.1:18030
"$bin/corianderpost-ctl" targets --router 127.0.0.1:18030
echo "plot: demo-out/service.svg"
[[ -s $out/service.svg ]] || result=1

echo "== Graceful stop"
stop_all
trap - EXIT
exit $result
