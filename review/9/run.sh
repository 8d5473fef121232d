#!/usr/bin/env bash
# All instances start again right after an outage of the store, in which a server became cold. See claim.txt.
. "$(dirname "$0")/../lib-2.sh"

# cold-per-s x cold-overrun + cold-slack: 11 x 1.5 + 5, rounded down.
most=21
start_store
document 5
born=$(($(now_ms) - 60000))
for s in 1 2 3 4; do
	start_server $s 9 100 crash=44
	put servers/s-$s "$(entry $s lom-brescia 9 ready 0 40 $born)"
done
for n in 1 2; do start_node $n lom-brescia; done
ready_all 1 2
sleep 4
for n in 1 2; do launch "load$n" "$tools/review2-client" load "$(node_addr "$n")" 8144 unsafe "load-$n" 130 13; done
sleep 3
t0=$(now_ms)
at() { while [ $(($(now_ms) - t0)) -lt "$1" ]; do sleep 0.02; done; }
if [ "$trouble" = 1 ]; then
	store_call POST "/control/mode?mode=silent" "" >/dev/null
	note "the store is silent"
fi
at 2500
kill -9 "${pid[node1]}" "${pid[node2]}"
note "all instances are killed"
at 3500
kill -HUP "${pid[server1]}"
cold=$(now_ms)
client call "$(server_addr 1)" 9000 GET /health >/dev/null
# Its write does not reach the store while that is silent.
[ "$trouble" = 1 ] || put servers/s-1 "$(entry 1 lom-brescia 9 ready 3000 41 $born)"
at 4200
if [ "$trouble" = 1 ]; then
	store_call POST "/control/mode?mode=ok" "" >/dev/null
	note "the store is back"
fi
at 4300
start_node 1 lom-brescia
start_node 2 lom-brescia
# Its next write, 1.3 s after the store's return: within heartbeat-interval-ms, and within two seconds.
at 5500
put servers/s-1 "$(entry 1 lom-brescia 9 ready 1000 42 $born)"
at 10000
peak=$(cold_peak s-1 "$cold" 3000)
lost=$(awk -v from="$cold" '$2 == "server" && $3 == "s-1" && $4 == "runs" && $1 >= from {ran[$5] = 1}
	$2 == "client" && $3 == "gets" && ran[$4] && $5 != 200 {n++} END {print n + 0}' "$record")
crashed=$(grep -c "server s-1 crashes" "$record")
served=$(grep -c "client gets load-.* 200 " "$record")
[ "$served" -gt 300 ] || cannot_run "only $served requests were served"
[ "$peak" -gt "$most" ] && verdict 1 "FAILBACK broken: the cold server s-1 got $peak requests in one second, of at most $most; it crashed $crashed times and lost $lost requests; $served were served"
verdict 0 "FAILBACK held: the cold server s-1 got $peak requests in one second, of at most $most; $served were served"
