#!/usr/bin/env bash
# Guards against a large document that delays everything else: on an instance with a tenth of a core and a link of
# 10 Mbit/s, two versions of 1 MB arrive while a server begins to drain. The server must get nothing once 2 s have
# passed (drain-ms), and clients must get their answers meanwhile.
. "$(dirname "$0")/../node-lib.sh"
store_relay_addr=127.$run.8.1
cat >"$dir/links.json" <<-JSON
	{"listeners":[{"address":"$store_relay_addr","port":8142,"to_address":"$store","to_port":8142,"zone":"store"}],
	 "sources":[{"prefix":"127.","zone":"any"}],
	 "links":[{"from":"store","to":"any","ms":1,"mbit":10,"link":"down"},{"from":"any","to":"store","ms":1,"mbit":10,"link":"up"}]}
JSON
start links "$build/bin/standin-links" --list "$dir/links.json" --control-address "127.$run.8.2"
start_platform
document 5
start_node 1 z1
wait_for 10 ready 1 || echo "the instance did not become ready within 10 s"
entry=$(curl -sSf "http://$store:8142/v1/kv-range?prefix=servers/i-1" | jq -r ".items[0].value" | base64 -d)
base=$(curl -sSf "http://$store:8142/v1/kv-range?prefix=op/config" | jq -r ".items[0].value" | base64 -d)

arrivals() { curl -sSf "$control/state?server=i-1" | jq .arrivals; }
# large VERSION: prints the document with 4,000 further routes.
large() {
	jq -c --arg v "r$1" '.version = $v | .routes[0] as $r | .routes += [range(4000) | $r + {name: "r-\(.)", prefix: "/more/\(.)/"}]' <<<"$base"
}
# A tenth of a core: the process runs for 10 ms in 100 ms.
throttle() {
	while kill -CONT "$1" 2>/dev/null; do
		sleep 0.01
		kill -STOP "$1" 2>/dev/null
		sleep 0.09
	done
}
# requesting N: sends requests one after another for 9 s and prints how long each took.
requesting() {
	local end=$((SECONDS + 9))
	while [ $SECONDS -lt $end ]; do
		curl -sS -o /dev/null -w '%{http_code} %{time_total}\n' --max-time 8 "http://127.$run.1.1:8144/safe/x?ms=2" \
			-H 'Host: h.example' -H "Cassiascale-Attempt-Id: l-$1-$RANDOM$RANDOM" \
			-H "Cookie: Cassiascale-Affinity-Key=$RANDOM" -H 'Cassiascale-Deadline-Milliseconds: 3000'
		sleep 0.05
	done >"$dir/took.$1" 2>&1
}
put() { curl -sSf "$control/put?key=$1" -d @"$2" >/dev/null; }

large 6 >"$dir/doc6"
large 7 >"$dir/doc7"
jq -c '.state = "draining" | .sequence = 99' <<<"$entry" >"$dir/draining"
throttle "$pid_node1" &
pids="$pids $!"
clients=""
for i in 1 2 3 4; do
	requesting "$i" &
	clients="$clients $!"
done
sleep 1
before=$(arrivals)
put op/config "$dir/doc6"
sleep 0.2
put op/config "$dir/doc7"
sleep 0.1
put servers/i-1 "$dir/draining"
sleep 2
at_bound=$(arrivals)
# shellcheck disable=SC2086
wait $clients
ok "the server had received requests" [ "$at_bound" -gt "$before" ]
ok "it receives none after drain-ms" [ "$(arrivals)" = "$at_bound" ]
ok "the document is in force" wait_for 8 grep -q 'event=document.in_force .*version=7 ' "$dir/node1.log"
longest=$(cat "$dir"/took.* | awk '{ if ($2 > m) m = $2 } END { printf "%d", m * 1000 }')
ok "each request gets its answer within 1 s (longest $longest ms)" [ "$longest" -le 1000 ]
ok "none fails" lacks "$(cat "$dir"/took.*)" '^(000|4|5)'
kill -CONT "$pid_node1" 2>/dev/null
finish
