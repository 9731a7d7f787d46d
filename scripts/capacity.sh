#!/bin/bash
# Measures again and writes docs/CAPACITY.md from the figures. With
# SLOPES=FILE and DATAPLANE=FILE it takes CSV that was measured before.
set -eu
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
slopes=${SLOPES:-}
dataplane=${DATAPLANE:-}
if [[ -z $slopes ]]; then
  slopes=$work/slopes.csv
  build/bin/corianderpost-bench slopes --seed 1 --most 300 >"$slopes"
fi
if [[ -z $dataplane ]]; then
  dataplane=$work/dataplane.csv
  scripts/dataplane.sh >"$dataplane"
fi
awk -F, -v slopes="$slopes" -v dataplane="$dataplane" '
# Fits y = a + b log2(x); sets a, b and the largest residual.
function fit(col,   i, n, sx, sy, sxx, sxy, x, y, r) {
  n = 0; sx = sy = sxx = sxy = 0
  for (i = 1; i <= rows; i++) if (node[i, 1] >= 10) {
    x = log(node[i, 1]) / log(2); y = node[i, col]
    n++; sx += x; sy += y; sxx += x * x; sxy += x * y
  }
  b = n > 1 ? (n * sxy - sx * sy) / (n * sxx - sx * sx) : 0
  a = (sy - b * sx) / n
  worst = 0
  for (i = 1; i <= rows; i++) if (node[i, 1] >= 10) {
    r = node[i, col] - a - b * log(node[i, 1]) / log(2)
    if (r < 0) r = -r
    if (r > worst) worst = r
  }
  return a + b * log(1300) / log(2)
}
function row(name, col, unit, limit, carrier,   at) {
  at = fit(col)
  printf "| %s | %.1f + %.2f log2 n, within %.1f | %.1f %s | %s | %s | %s |\n", name, a, b, worst, at, unit, limit, (limit == "-" ? "-" : (limit + 0 >= at ? "met" : "MISSED")), carrier
}
BEGIN {
  while ((getline line < slopes) > 0) {
    k = split(line, f, ",")
    if (f[1] + 0 > 0) { rows++; for (i = 1; i <= k; i++) node[rows, i] = f[i] + 0 }
  }
  while ((getline line < dataplane) > 0) {
    k = split(line, f, ",")
    if (f[1] + 0 > 0) { name = f[1] "," f[2]; for (i = 1; i <= k; i++) plane[name, i] = f[i] }
  }
  print "# Capacity\n"
  print "Made by `make capacity` from `corianderpost-bench slopes --seed 1 --most 300` and `scripts/dataplane.sh`; do not edit. Size: the letter'"'"'s, 1,300 nodes, 4,300 replicas, 42,000 requests and 18 million tokens a second, 5,800 customers with a tenth backlogged, 6 regions, 14 zones, 15,000 configuration changes and 2,100 restarts a day.\n"
  print "## Control, a node\n"
  print "Load grows with the fleet: 3 replicas and 4 customers a node, a tenth of them backlogged, about 20 requests a second and node. Fits are over fleets of 10 routers and more. The processor time is that of the cores and of encoding; sending and receiving datagrams comes on top, about 5 us each.\n"
  print "| what | fit | at 1,300 nodes | limit | verdict | carried by |"
  print "|---|---|---|---|---|---|"
  row("processor time, % of a core", 3, "%", 1.5, "owners on a ring, look at all targets once a second")
  row("bytes a second", 4, "B/s", 18000, "few neighbours, account homes, 8 to 48 owners asked")
  row("messages a second", 5, "a second", "-", "one datagram each")
  row("memory, kB", 6, "kB", 64000, "counters only at the account'"'"'s home and user")
  row("counters, B/s", 8, "B/s", 18000, "account homes")
  row("demand and held grants, B/s", 9, "B/s", 18000, "whole state, refreshed every 200 ms")
  row("heartbeats, B/s", 10, "B/s", 18000, "8 neighbours and one random router")
  at = fit(7)
  printf "\nConfiguration service, all readers together: %.1f + %.2f log2 n calls a second, %.1f at 1,300 nodes; limit about 2,000. Watchers grow with the logarithm of the fleet.\n", a, b, at
  print "\nMeasured:\n"
  print "| routers | % of a core | B/s | messages/s | kB | calls/s, all | use of capacity % |"
  print "|---|---|---|---|---|---|---|"
  for (i = 1; i <= rows; i++) printf "| %d | %.2f | %.0f | %.0f | %.0f | %.1f | %.1f |\n", node[i, 1], node[i, 3], node[i, 4], node[i, 5], node[i, 6], node[i, 7], node[i, 11]
  print "\n## Control, reasoned\n"
  print "- State of a router at 1,300 nodes: VM list 5,600 entries of about 200 B, 1.1 MB; bundle up to 1 MB as text and about as much parsed; homes: 34,800 accounts over 1,300 homes with up to 1,300 entries of 80 B each, 2.8 MB; memory of owners and homes by target and account, 0.5 MB; keys: 600 s of issued keys, 100 B each; answers of keyed work as large as they are."
  print "- Configuration: 15,000 changes a day, one each 5.8 s; a bundle of up to 1 MB pulled by every node is 172 KB/s a node. This MISSES 18 KB/s. The change that mends it: send the difference between two revisions, a few hundred bytes."
  print "- VM list: each router reads it every second, 1,300 reads a second. If the platform counts these with the configuration'"'"'s calls, they pass its limit with the fleet; reading at the watchers alone and passing the list on, as is done for a late router, mends it."
  print "- Restarts: 2,100 a day are one each 41 s; each makes its neighbours send heartbeats and its suspects, a few kB. An account'"'"'s home that restarts forgets what ended incarnations served; its accounts'"'"' totals stay at the last value that others know until the live counters pass it. A second home for each account mends it."
  print "- Across regions: beyond nine routers neighbours are ring neighbours whatever their region. With 6 regions about five sixths of the control bytes cross: 1,300 x 16 KB/s x 5/6 = 139 Mbit/s over all links. This MISSES 30 Mbit/s. Rings by region mend it."
  print "- Breaks first: the bundle'"'"'s pull, then the regions'"'"' links."
  print "\n## Data plane, a node\n"
  print "One router on loopback between the load program and the stand-in engine, 120 tokens a stream, 25 ms apart; the same load straight to the engine beside it.\n"
  print "| streams | added to first token p50, p95, p99 ms | added between tokens p50, p95, p99 ms | requests/s | tokens/s | processor us a token | kB a stream | threads |"
  print "|---|---|---|---|---|---|---|---|"
  n = split("1 10 50 100 200 400", sizes, " ")
  for (i = 1; i <= n; i++) {
    d = sizes[i] ",direct"; r = sizes[i] ",router"
    if (!((r, 5) in plane)) continue
    printf "| %d | %.1f, %.1f, %.1f | %.1f, %.1f, %.1f | %.1f | %.0f | %.0f | %.0f | %d |\n", sizes[i], plane[r, 5] - plane[d, 5], plane[r, 6] - plane[d, 6], plane[r, 7] - plane[d, 7], plane[r, 8] - plane[d, 8], plane[r, 9] - plane[d, 9], plane[r, 10] - plane[d, 10], plane[r, 12], plane[r, 11], 1e6 * plane[r, 13] / (plane[r, 11] * 15), plane[r, 14], plane[r, 15]
    last = r
  }
  per = plane[last, 13] / (plane[last, 11] * 15)
  printf "\nGoal at 400 streams: under 2 ms, under 1 ms, below 256 kB a stream. One core carries about %.0f tokens a second. At the letter'"'"'s size a node carries 32 requests and 13,850 tokens a second, %.2f cores, and about 260 streams of 8 s with 3 threads each.\n", 1 / per, 13850 * per
}' >docs/CAPACITY.md
echo "docs/CAPACITY.md is written"
