#!/usr/bin/env bash
# A write of a server's former process is carried out late, and its cold successor gets requests at full rate. See claim.txt.
. "$(dirname "$0")/../lib-2.sh"

# cold-per-s x cold-overrun + cold-slack: 11 x 1.5 + 5, rounded down.
most=21
start_store
document 5
born=$(($(now_ms) - 60000))
# One of eight servers is killed: a share of 0.125.
for s in 1 2 3 4 5 6 7 8; do
	start_server $s 9 100
	put servers/s-$s "$(entry $s lom-brescia 9 ready 0 40 $born)"
done
instances=${INSTANCES:-1}
for n in $(seq "$instances"); do start_node "$n" lom-brescia; done
# shellcheck disable=SC2046
ready_all $(seq "$instances")
sleep 3
for n in $(seq "$instances"); do
	launch "load$n" "$tools/review2-client" load "$(node_addr "$n")" 8144 unsafe "load-$n" $((440 / instances)) 9
done
sleep 3
t0=$(now_ms)
at() { while [ $(($(now_ms) - t0)) -lt "$1" ]; do sleep 0.02; done; }
# The last write of the process that is killed: the store's answer is lost, and the store carries it out 1.3 s later.
late=$(entry 1 lom-brescia 9 ready 0 41 $born)
note "server s-1 writes $late, and gets no answer"
at 200
kill -9 "${pid[server1]}"
note "server s-1 is killed"
at 700
# It starts again under its id and is cold. It crashes when it gets three times cold-per-s in one second.
start_server 1 9 100 cold=3000 crash=33
born2=$(now_ms)
put servers/s-1 "$(entry 1 lom-brescia 9 ready 3000 1 $born2)"
at 1300
if [ "$trouble" = 1 ]; then put servers/s-1 "$late"; else note "no late write"; fi
# Its next write comes a heartbeat-interval-ms after the first one.
at 2200
put servers/s-1 "$(entry 1 lom-brescia 9 ready 1500 2 $born2)"
at 8000
peak=$(cold_peak s-1 "$born2" 3000)
served=$(grep -c "client gets load-.* 200 " "$record")
[ "$served" -gt 300 ] || cannot_run "only $served requests were served"
lost=$(awk -v from="$born2" '$2 == "server" && $3 == "s-1" && $4 == "runs" && $1 >= from {ran[$5] = 1}
	$2 == "client" && $3 == "gets" && ran[$4] && $5 != 200 {n++} END {print n + 0}' "$record")
crashed=$(grep -c "server s-1 crashes" "$record")
[ "$peak" -gt "$most" ] && verdict 1 "FAILBACK broken: the cold server s-1 got $peak requests in one second, of at most $most; it crashed $crashed times and lost $lost requests; $served were served"
verdict 0 "FAILBACK held: the cold server s-1 got $peak requests in one second, of at most $most; $served were served"
