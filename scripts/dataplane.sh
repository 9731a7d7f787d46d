#!/bin/bash
# Measures what a router adds to streams: the same load straight to the
# stand-in engine and through one router. Prints CSV.
set -u
cd "$(dirname "$0")/.."
bin=$PWD/build/bin
out=$(mktemp -d)
. scripts/lib.sh
trap 'stop_all; rm -rf "$out"' EXIT

cat >"$out/engine.yaml" <<'Y'
{first_token_ms: 20, between_tokens_ms: 25, mean_tokens: 120}
Y
cat >"$out/service.corianderpost.yaml" <<'Y'
zones: [{name: a, region: west}]
customers:
  - {name: club, key_digests: [c0ff3a28ec6e1fb60e4ea3c7c9fd8ee3b2ff0ab2d9cd29c0c26bd4cf8d5c0fa1]}
service:
  name: model
  kind: model
  limits: {slots: 1000, cold_slots: 1, max_wait_ms: 30000, max_waiting: 1000}
Y
digest=$(printf key | sha256sum | cut -d' ' -f1)
sed -i "s/\[c0ff[0-9a-f]*\]/[$digest]/" "$out/service.corianderpost.yaml"
"$bin/corianderpost-collect" "$out" --out "$out/bundle.json" || exit 1
start configuration "$bin/corianderpost-standins" configuration --listen 127.0.0.1:19001
start vms "$bin/corianderpost-standins" vms --listen 127.0.0.1:19002
start engine "$bin/corianderpost-standins" engine --listen 127.0.0.1:19100 --settings "$out/engine.yaml"
await http://127.0.0.1:19001/stats
await http://127.0.0.1:19100/stats
curl -sf -X PUT --data-binary "@$out/bundle.json" http://127.0.0.1:19001/publish >/dev/null
curl -s -X PUT --data '{"revision":1,"vms":[
 {"name":"engine","role":"target","service":"model","zone":"a","address":"127.0.0.1:19100"},
 {"name":"router","role":"router","zone":"a","address":"127.0.0.1:19010","peer_address":"127.0.0.1:19020"}]}' \
  http://127.0.0.1:19002/publish
cat >"$out/router.yaml" <<Y
vm: router
zone: a
listen: 127.0.0.1:19010
peer_listen: 127.0.0.1:19020
admin_port: 19030
configuration: 127.0.0.1:19001
vm_list: 127.0.0.1:19002
log_file: $out/router.jsonl
caller_threads: 700
Y
start router "$bin/corianderpost-router" --settings "$out/router.yaml"
router=${pid[router]}
await http://127.0.0.1:19010/health
sleep 2

cpu_ticks() { awk '{print $14 + $15}' "/proc/$router/stat"; }
# Settled once: memory of the router before any stream.
idle_kb=$(awk '/VmRSS/{print $2}' "/proc/$router/status")
echo "streams,path,calls,whole,ft_p50_ms,ft_p95_ms,ft_p99_ms,bt_p50_ms,bt_p95_ms,bt_p99_ms,tokens_a_s,requests_a_s,router_cpu_s,kb_a_stream,threads"
for streams in ${STREAMS:-1 10 50 100 200 400}; do
  # A stream lasts about 3.02 s.
  rate=$(awk -v n="$streams" 'BEGIN{print n / 3.02}')
  for path in 19100:direct 19010:router; do
    cat >"$out/load.yaml" <<Y
routers: ['127.0.0.1:${path%:*}']
seconds: 12
mean_tokens: 120
sources: [{customer: club, key: key, model: model, rate: $rate}]
Y
    before=$(cpu_ticks)
    (sleep 8; awk '/VmRSS/{m=$2} /Threads/{t=$2} END{print m, t}' "/proc/$router/status" >"$out/memory") &
    sampler=$!
    "$bin/corianderpost-load" --settings "$out/load.yaml" --seed 1 >"$out/table"
    wait $sampler
    after=$(cpu_ticks)
    read -r kb threads <"$out/memory"
    awk -v n="$streams" -v p="${path#*:}" -v cpu="$(((after - before)))" -v kb="$kb" -v idle="$idle_kb" -v t="$threads" \
      '$1=="club"{printf "%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%.1f,%.1f,%.2f,%.0f,%s\n",n,p,$2,$3,$8,$9,$10,$11,$12,$13,$7/15,$2/12,cpu/100,(kb-idle)/n,t}' "$out/table"
  done
done
