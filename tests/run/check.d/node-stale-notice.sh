#!/usr/bin/env bash
# Guards against a server that is left alone, limited or seen as full because of what an earlier response of it stated
# that is sent once more, late and without a request's id; and against a client that sent no id and gets the response
# to another client's request; and against a health check that takes the response to a request for its own.
. "$(dirname "$0")/../node-lib.sh"
start_all
start_faulty_only
entry=$(curl -sSf "http://$store:8142/v1/kv-range?prefix=servers/i-9" | jq -r ".items[0].value" | base64 -d)

# new_process: makes the instances forget what the server stated.
born=2000
new_process() {
	born=$((born + 1000))
	curl -sSf "$control/put?key=servers/i-9" -d "$(jq ".born = $born" <<<"$entry")" >/dev/null
	wait_for 8 only_faulty || echo "requests do not reach the faulty server"
}
# copy_follows KIND: lets copies of that kind arrive where the response to the next request is due.
copy_follows() {
	local i
	new_process
	for i in 1 2 3; do
		status "/safe/late-$1/60" >/dev/null
		status /safe/slow/150 >/dev/null
		# Longer than a server is left alone after a failed attempt.
		sleep 0.2
	done
}
# together N: sends N requests at once; prints how many are answered.
together() {
	local i running=()
	for i in $(seq "$1"); do
		status /safe/slow/500 >"$dir/together.$i" &
		running+=($!)
	done
	wait "${running[@]}"
	grep -l '^200 0' "$dir"/together.* | wc -l
}
logged() { grep -c "event=$1 .*server=i-9 " "$dir/node1.log"; }

mixed=0
for kind in safe unsafe; do
	for i in 1 2 3; do
		status /safe/late/60 >/dev/null
		a=$(curl -sS --max-time 8 "http://127.$run.1.1:8144/$kind/slow/150" -H 'Host: h.example' -H 'Cassiascale-Deadline-Milliseconds: 3000')
		grep -q '^stray' <<<"$a" && mixed=$((mixed + 1))
		sleep 0.2
	done
done
ok "no client without an id gets the response to another request (mixed: $mixed of 6)" [ $mixed = 0 ]
copy_follows limit
n=$(logged server.limit)
ok "an old limit is not applied (applied: $n)" [ "$n" = 0 ]
copy_follows pause
n=$(logged server.retry_after)
ok "an old Retry-After does not begin a pause (begun: $n)" [ "$n" = 0 ]
copy_follows leaving
n=$(logged server.leaving)
ok "a server does not count as leaving because of an old response (logged: $n)" [ "$n" = 0 ]
copy_follows load
n=$(together 4)
ok "an old load does not take away slots (answered: $n of 4)" [ "$n" = 4 ]
# first_check KIND ID: prints the result of the health check after which the copy of a response follows.
first_check() {
	new_process
	id=$2 call 1 "/safe/check-$1/80" >/dev/null
	sleep 0.4
	sed -n "/event=send.failed .*id=$2 /,\$ { /event=server.probed/ { s/.* ok=/ok=/p; q } }" "$dir/node1.log"
}
for i in 1 2 3; do
	a=$(first_check fails "fails-$i")
	ok "a failing health check does not pass ($a)" has "$a" '^ok=0 cold_ms=0 status=503'
	a=$(first_check cold "cold-$i")
	ok "a health check notices that the server is cold ($a)" has "$a" '^ok=1 cold_ms=1000'
	# A cold server takes few requests.
	sleep 1
	a=$(first_check passes "passes-$i")
	ok "a good health check does not fail ($a)" has "$a" '^ok=1 cold_ms=0 status=200'
done
n=$(grep -c 'event=send.failed .*earlier_sends=[1-9].*has_id=0' "$dir/node1.log")
ok "copies arrived on connections that were used before ($n)" [ "$n" -ge 8 ]
finish
