#!/usr/bin/env bash
# figures: node_start_ms node_cpu_us node_rss_mb node_idle_wakeups_s
# cassia-node with the simulated platform, on one core: time from start to ready (limit 300 ms), CPU time per
# forwarded request in this process (limit 150 us), resident memory with 500 servers and 500 routes (limit
# 60 MB), wake-ups per second without requests (limit 40).
source "$(dirname "${BASH_SOURCE[0]}")/../run/node-lib.sh"
requests=4000

ticks() { awk '{ print $14 + $15 }' "/proc/$pid_node1/stat"; }
wakeups() { awk '/^voluntary_ctxt/ { print $2 }' "/proc/$pid_node1/status"; }

start_platform
document 5
start_ns=$(date +%s%N)
start_node 1 z1
until ready 1 >/dev/null 2>&1; do sleep 0.005; done
echo "node_start_ms $((($(date +%s%N) - start_ns) / 1000000)) ms"
sleep 1

for n in $(seq $requests); do printf 'url = http://127.%d.1.1:8144/safe/x\noutput = /dev/null\n' "$run"; done >"$dir/urls"
before=$(ticks)
curl -sS --parallel --parallel-max 8 -K "$dir/urls" -H 'Host: h.example' -H 'Cassiascale-Deadline-Milliseconds: 3000' >/dev/null 2>&1
after=$(ticks)
forwarded=$(curl -sS "http://127.$run.1.1:9464/metrics" | awk '/^cassia_node_ok_total/ { print $2 }')
[ "$forwarded" = $requests ] || { echo "only $forwarded of $requests requests were forwarded" >&2; exit 1; }
awk -v t=$((after - before)) -v n=$requests -v hz="$(getconf CLK_TCK)" 'BEGIN { printf "node_cpu_us %.0f us\n", t * 1e6 / hz / n }'

for n in $(seq 500); do
	printf 'next\nurl = %s/put?key=servers/x-%d\noutput = /dev/null\ndata = "%s"\n' "$control" "$n" \
		'{\"service\":\"svc\",\"address\":\"127.0.0.1:1\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":4,\"state\":\"draining\",\"cold-remaining-ms\":0,\"sequence\":1}'
done | sed '1d' >"$dir/entries"
curl -sS -K "$dir/entries" >/dev/null
jq -nc '{version: "r9", services: [], routes: [range(500) | {name: "r\(.)", host: "h.example", prefix: "/p\(.)/", kind: "safe", service: "svc"}]}' |
	curl -sSf "$control/put?key=op/config" -d @- >/dev/null
sleep 2
awk '/^VmRSS/ { printf "node_rss_mb %.1f MB\n", $2 / 1024 }' "/proc/$pid_node1/status"
before=$(wakeups)
sleep 4
echo "node_idle_wakeups_s $((($(wakeups) - before) / 4)) 1/s"
