#!/usr/bin/env bash
# UNASKED: requests of a safe route with bodies of 3 MB in chunks are on their way when connections to the servers are
# reset. No server may run a request whose body differs from the one that the client sent.
. "$(dirname "$0")/../lib.sh"
start_system
for round in 1 2 3; do
	# Requests with small bodies leave connections to the servers open.
	clients=""
	for i in $(seq 14); do
		send 1 POST "/safe/small?ms=80" "small-$round-$i" 2500 300 length 0 0 &
		clients="$clients $!"
	done
	# shellcheck disable=SC2086
	wait $clients
	clients=""
	# Ten bodies of 3 MB, each sent within about 1.2 s.
	for i in $(seq 10); do
		send 1 POST "/safe/large?ms=50" "large-$round-$i" 5000 3000000 chunked 25 0 &
		clients="$clients $!"
	done
	sleep 0.8
	# shellcheck disable=SC2154
	[ "$trouble" = 0 ] || kill -USR1 "$pid_server1" "$pid_server2"
	# shellcheck disable=SC2086
	wait $clients
	sleep 4
done
broken=0
runs=0
while read -r line; do
	runs=$((runs + 1))
	id=$(field id "$line")
	sent=$(grep "^sent id=$id " "$record")
	# What the client had not sent whole has no body to compare with.
	[ "$(field whole "$sent")" = 1 ] || continue
	[ "$(field hash "$line")" = "$(field hash "$sent")" ] && continue
	broken=$((broken + 1))
	echo "broken: id=$id sent_bytes=$(field bytes "$sent") run_bytes=$(field bytes "$line") $(grep "^answer id=$id " "$record")" |
		tee -a "$record"
done < <(grep '^run ' "$record")
[ "$runs" -ge 30 ] || cannot_run "only $runs requests ran"
verdict "$broken" "runs=$runs"
