#!/usr/bin/env bash
# Guards against a late copy of a refusal that is taken for the refusal of a later send: the client is told "not run"
# although its request ran, and a request that may run once runs twice.
. "$(dirname "$0")/../node-lib.sh"
server=127.$run.8.1:9000

# entry ID ADDRESS [SLOTS]: writes the entry of a server that has just started.
entry() {
	revision=$(curl -sSf "$control/put?key=servers/$1" \
		-d "$(jq -c ".address = \"$2\" | .born = $(date +%s%3N) | .slots = ${3:-8}" <<<"$template")" | jq .revision)
}
# Waits until the instance has read the last entry written.
entries_read() { wait_for 2 grep -q "event=server.entry .* revision=$revision$" "$dir/node1.log"; }
remove() {
	local s
	for s in "$@"; do curl -sSf "$control/delete?key=servers/$s" >/dev/null; done
}
# routes VERSION MAX_ATTEMPTS: changes the routes of the first document.
routes() {
	curl -sSf "$control/put?key=op/config" -d "$(jq -c ".version = \"r$1\" | .routes[] |= (.\"max-attempts\" = $2 |
		.\"target-latency-ms\" = 4000 | .\"timeout-ms\" = 3000)" <<<"$first_document")" >/dev/null
}
# stored PREFIX: prints the value of the first item with this prefix.
stored() { curl -sSf "http://$store:8142/v1/kv-range?prefix=$1" | jq -r '.items[0].value' | base64 -d; }

start_platform
document 5
template=$(stored servers/i-1)
first_document=$(stored op/config)
routes 6 2
start faulty "$build/bin/standin-faulty" "${server%:*}" "${server#*:}" "$dir/faulty.txt"
start busy "$build/bin/standin-faulty" "127.$run.7.1" 9000 "$dir/busy.txt"
write_settings 1 z1
jq '.bounds."budget-extra-retries" = 2000' "$dir/node1.json" >"$dir/settings" && mv "$dir/settings" "$dir/node1.json"
start node1 "${NODE:-$build/bin/cassia-node}" --settings "$dir/node1.json" --metrics-port 9464
wait_for 10 ready 1 || echo "the instance did not become ready within 10 s"
entry i-a "$server"
remove i-1 i-2 i-3 i-4
wait_for 8 only_faulty || echo "requests do not reach the faulty server"

# check N NAME KIND OPTIONS [CURL-ARGUMENTS...]: calls prepare_NAME and sends a request to /refuse-copy with these
# options, N times. A request that ran may not be answered with a status that denies it, and only a safe one may run
# twice.
check() {
	local n=$1 name=$2 kind=$3 options=$4 status ran all="" denied=0 twice=0 again=0
	shift 4
	for _ in $(seq "$n"); do
		id=c-$RANDOM$RANDOM$RANDOM
		background=""
		"prepare_$name"
		status=$(call 1 "/$kind/refuse-copy/$options" "$@")
		status=${status#HTTP/1.1 }
		status=${status%% *}
		[ -n "$background" ] && wait "$background"
		ran=$(grep -c "^run $id " "$dir/faulty.txt")
		all="$all $status/$ran"
		[ "$ran" = 0 ] && continue
		again=$((again + 1))
		case $status in 503 | 429 | 408 | 421) denied=$((denied + 1)) ;; esac
		[ "$ran" -gt 1 ] && [ "$kind" != safe ] && twice=$((twice + 1))
	done
	unset id
	ok "$name, $kind $options $*: none that ran is denied, none runs twice (denied $denied, twice $twice of $n:$all)" \
		[ $((denied + twice)) = 0 ]
	ok "$name, $kind $options $*: requests run after a refusal ($again of $n)" [ "$again" -ge $((n / 2)) ]
}

# The entries of a server's earlier processes are still there: several entries have one address.
for i in b c d e f; do entry "i-$i" "$server"; done
entries_read
prepare_one_address() { :; }
# Ends the back-off of the server and a kept connection, which a request could use in place of that of its refusal.
close_kept() { status /safe/drop/0 >/dev/null; }
# A refusal without an id is believed only on a new connection: requests that may run once use one after 100 ms.
prepare_new_connection() { sleep 0.12; }
check 5 new_connection unsafe 503/0/1/nameless -d x
# The instance is stopped for moments, also between the refusal and the next send.
prepare_paused() {
	close_kept
	for _ in 1 2 3; do
		sleep 0.01
		kill -STOP "$pid_node1"
		sleep 0.02
		kill -CONT "$pid_node1"
	done &
	background=$!
}
check 5 paused unsafe 503/5/1/same -d x
check 5 paused unsafe 421/3/1/time -d x
for status in 421 503; do
	check 5 one_address unsafe $status/0/1/same -d x
	check 5 one_address unsafe $status/20/3/same -H 'Transfer-Encoding: chunked' -d x
	check 5 one_address unsafe $status/2/1/time -X DELETE
	check 5 one_address unsafe $status/5/2/next -d x
	check 1 one_address unsafe $status/1200/1/same -X DELETE
	check 5 one_address safe $status/0/1/same
done

# With a third send, a request that is taken for a refused one while it runs is sent again.
entry i-g "$server"
routes 7 3
entries_read
check 5 one_address unsafe 421/0/1/same -d x
check 5 one_address unsafe 503/2/1/time -X DELETE
routes 8 2
remove i-b i-c i-d i-e i-f i-g
wait_for 8 grep -q "event=server.gone .*server=i-g " "$dir/node1.log" || echo "the entry is still used"

# After sends to closed ports that fill its list of servers, a request returns to the server that refused it.
# The server states its slowdown before, so that the closed ports are tried first.
prepare_closed_ports() {
	local n
	id=answered call 1 /safe/refuse-copy/503/0/0/same >/dev/null
	close_kept
	for n in 1 2 3 4; do entry "i-closed-$n" "127.$run.8.$((n + 1)):9000"; done
	entries_read
}
check 4 closed_ports safe 503/0/1/same
check 4 closed_ports unsafe 503/0/1/same -d x
check 4 closed_ports unsafe 503/115/1/time -d x
# A health check makes the server usable again while the request waits for a busy one.
prepare_checked() { prepare_closed_ports; }
entry i-busy "127.$run.7.1:9000" 1
entries_read
occupy_busy() {
	call 1 /unsafe/slow/2800 -d x >/dev/null &
	sleep 0.2
	grep -q /slow/ "$dir/busy.txt"
}
wait_for 3 occupy_busy || echo "requests do not reach the busy server"
check 4 checked unsafe 421/0/1/same -d x
remove i-busy
# A new entry of the server ends its back-off. The pause before it is that between the instance's reads of entries.
prepare_restarted() {
	prepare_closed_ports
	sleep 0.2
	{
		wait_for 2 grep -q "^refuse $id " "$dir/faulty.txt"
		entry i-a "$server"
	} &
	background=$!
}
check 4 restarted unsafe 503/0/1/same -d x
check 4 restarted unsafe 503/0/1/same -X DELETE
finish
