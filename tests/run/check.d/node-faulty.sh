#!/usr/bin/env bash
# Guards against a client that is told "not run" because of a refusal of an earlier request, that gets the response to
# an earlier request because its own has no id, that gets a complete response although the server stopped in its head,
# against a server whose head never ends, and against requests to a server within the Retry-After of a refusal without
# the request's id.
. "$(dirname "$0")/../node-lib.sh"
start_all
start_faulty_only
for kind in safe unsafe; do
	refused=0
	for i in $(seq 6); do
		status /safe/late-refusal/60 >/dev/null
		[ "$(status "/$kind/slow/150" -d "r-$i")" = "503 0" ] && refused=$((refused + 1))
	done
	ok "no $kind request is refused because of an earlier refusal (refused: $refused)" [ $refused = 0 ]
	lost=0
	for i in $(seq 6); do
		status /safe/late-refusal/60 >/dev/null
		status "/$kind/slow/150" -d "l-$i" >/dev/null
		[ "$(status "/$kind/ok" -d "n-$i")" = "200 0" ] || lost=$((lost + 1))
	done
	ok "the response behind a copy does not meet the next $kind request (lost: $lost)" [ $lost = 0 ]
	foreign=0
	for i in $(seq 6); do
		status /safe/late/60 >/dev/null
		a=$(curl -sS --max-time 8 "http://127.$run.1.1:8144/$kind/slow/150" -H 'Host: h.example' -d "f-$i")
		[ "$a" = stray ] && foreign=$((foreign + 1))
	done
	ok "no $kind request without an id gets the response to an earlier one (got: $foreign)" [ $foreign = 0 ]
	for n in 0 3; do
		a=$(status "/$kind/cut-head/$n" -d x)
		ok "a head of $n lines that ends early gives no success: $kind, $a" has "$a" '^50[24] 0'
	done
done
peak() { awk '/VmHWM/ { print $2 }' "/proc/$pid_node1/status"; }
for what in head lines interim trailers status folded chunk-size; do
	a=$(status "/unsafe/endless-$what" -d x)
	# At the time limit the status would be 504.
	ok "endless $what give an error before the time limit ($a)" [ "$a" = "502 0" ]
	ok "memory stays small (peak $(peak) KiB)" [ "$(peak)" -lt 60000 ]
done
for what in chunk-extension chunks body; do
	a=$(status "/unsafe/endless-$what" -d x)
	ok "endless $what give no complete answer ($a)" lacks "$a" '^200 0$'
	ok "memory stays small (peak $(peak) KiB)" [ "$(peak)" -lt 60000 ]
done
a=$(status /unsafe/endless-behind -d x)
ok "bytes behind an answer do not spoil it ($a)" [ "$a" = "200 0" ]
ok "memory stays small (peak $(peak) KiB)" [ "$(peak)" -lt 60000 ]
a=$(call 1 /safe/ok)
ok "requests are answered afterwards" has "$a" '^ok'
# Unsafe requests use a new connection unless one was used in the last 100 ms.
sleep 0.3
a=$(status /unsafe/refuse-for/20 -d x)
ok "a refusal without an id is passed on as one ($a)" [ "$a" = "503 0" ]
sleep 1
runs_before=$(wc -l <"$dir/faulty.txt")
a=$(for i in 1 2 3; do status /safe/ok; done)
ok "its Retry-After is kept ($a)" [ "$(wc -l <"$dir/faulty.txt")" = "$runs_before" ]
finish
