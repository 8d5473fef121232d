#!/usr/bin/env bash
# A write that a server sent before it began to leave is carried out late, and undoes its leaving. See claim.txt.
. "$(dirname "$0")/../lib-2.sh"

drain_ms=2500
start_store
document 5
born=$(($(now_ms) - 60000))
# One of eight servers leaves: a share of 0.125.
for s in 1 2 3 4 5 6 7 8; do
	start_server $s 9 400
	put servers/s-$s "$(entry $s lom-brescia 9 ready 0 40 $born)"
done
start_node 1 lom-brescia
start_node 2 lom-bergamo
ready_all 1 2
sleep 4

# at MS: waits until MS after the lost answer.
at() { while [ $(($(now_ms) - t0)) -lt "$1" ]; do sleep 0.02; done; }

# s-1 writes its entry, and the store's answer is lost: the store carries the write out 5.8 s later, of at most 6 s.
t0=$(now_ms)
late=$(entry 1 lom-brescia 9 ready 0 41 $born)
note "server s-1 writes $late, and gets no answer"
# Quiet traffic, so that no request is under way when the server begins to leave, over stable-window-ms later.
for i in 1 2 3; do
	client send "$(node_addr 1)" 8144 safe "before-1-$i" >>"$record"
	client send "$(node_addr 2)" 8144 safe "before-2-$i" >>"$record"
done
at 3200
kill -USR2 "${pid[server1]}"
put servers/s-1 "$(entry 1 lom-brescia 9 draining 0 44 $born)"
acked=$(now_ms)
at 5200
launch load1 "$tools/review2-client" load "$(node_addr 1)" 8144 unsafe load-1 70 3
launch load2 "$tools/review2-client" load "$(node_addr 2)" 8144 unsafe load-2 70 3
at 5800
if [ "$trouble" = 1 ]; then put servers/s-1 "$late"; else note "no late write"; fi
# The next write of the server, and its end, 3 s after the ack: drain-ms and a little longer.
at 6200
[ "$trouble" = 1 ] && put servers/s-1 "$(entry 1 lom-brescia 9 draining 0 46 $born)"
kill -9 "${pid[server1]}"
note "server s-1 ends"
remove servers/s-1
at 12500
late_requests=$(awk -v t=$((acked + drain_ms)) '$2 == "server" && $3 == "s-1" && $4 == "gets" && $1 > t' "$record" | wc -l)
lost=$(awk -v t=$((acked + drain_ms)) '$2 == "server" && $3 == "s-1" && $4 == "gets" && $1 > t {late[$5] = 1}
	$2 == "client" && $3 == "gets" && late[$4] && $5 != 200 {n++} END {print n + 0}' "$record")
served=$(grep -c "client gets load-.* 200 " "$record")
[ "$served" -gt 40 ] || cannot_run "only $served requests were served"
[ "$late_requests" -gt 0 ] && verdict 1 "DRAIN broken: $late_requests requests reached s-1 later than $drain_ms ms after the ack, and $lost of them were lost; $served were served"
verdict 0 "DRAIN held: no request reached s-1 later than $drain_ms ms after the ack; $served were served"
