#!/usr/bin/env bash
# Guards against what a store that was restored from a copy undoes: servers that left or drain are used again, an
# evacuation ends, changes are missed as their revisions were given out before, an instance stays without its key.
. "$(dirname "$0")/../node-lib.sh"
put() { curl -sSf "$control/put?key=$1" -d "${2:-}" >/dev/null; }
entry() { curl -sSf "http://$store:8142/v1/kv-range?prefix=servers/$1" | jq -r ".items[0].value" | base64 -d; }
arrivals() { curl -sSf "$control/state?server=$1" | jq .arrivals; }
logged() { local n; for n in 1 2; do [ "$(grep -cE "$1" "$dir/node$n.log")" -ge "${2:-1}" ] || return 1; done; }
read_again() { logged event=store.restored "$1" && logged event=store.read $(($1 + 1)); }
# calls N: sends N requests to each instance; prints how many were not answered with 200.
calls() {
	local i n bad=0
	for ((i = 0; i < $1; i++)); do
		for n in 1 2; do call "$n" /safe/x | grep -q '^HTTP/1.1 200' || bad=$((bad + 1)); done
	done
	echo "$bad"
}
registered() { curl -sS "http://$store:8142/v1/kv-key?key=cassia/instances/front-$1" | grep -q '"lease"'; }

start_platform
document 5
start_node 1 z1
wait_for 10 ready 1
curl -sSf "$control/copy" >/dev/null
start_node 2 z2
wait_for 10 ready 2
wait_for 5 registered z2-2
draining=$(entry i-3 | jq -c '.state = "draining" | .sequence = 9')
put servers/i-3 "$draining"
curl -sSf "$control/delete?key=servers/i-1" >/dev/null
document 6 2500
wait_for 5 logged 'event=document.in_force .*version=6 '
wait_for 5 logged 'event=server.gone .*server=i-1 '
calls 5 >/dev/null
gone=$(arrivals i-1) drained=$(arrivals i-3)

# The copy is older than all of that.
curl -sSf "$control/restore" >/dev/null
ok "the instances notice it" wait_for 3 read_again 1
ok "requests are answered" [ "$(calls 20)" = 0 ]
ok "a server that was removed gets none" [ "$(arrivals i-1)" = "$gone" ]
ok "a server that drains gets none" [ "$(arrivals i-3)" = "$drained" ]
ok "an instance writes its lost key again" wait_for 3 registered z2-2
ok "the older document stays out of force" lacks "$(sed '1,/event=store.restored/d' "$dir/node1.log")" 'event=document.in_force .*version=5 '
put servers/i-3 "$draining"
curl -sSf "$control/delete?key=servers/i-1" >/dev/null

# Changes get revisions that were given out before, and later ones pass those that the instances know.
fill() { local i; for ((i = 0; i < $1; i++)); do put "other/$i" x; done; }
curl -sSf "$control/copy" >/dev/null
fill 30
document 7
wait_for 5 logged 'event=document.in_force .*version=7 '
curl -sSf "$control/restore" >/dev/null
put op/evacuate/z2 '{}'
document 8
fill 40
ok "a zone is evacuated at a revision that was given out before" wait_for 3 logged 'event=zone.evacuated .*zone=z2'
ok "a document comes into force at such a revision" wait_for 3 logged 'event=document.in_force .*version=8 '
curl -sSf "$control/delete?key=op/evacuate/z2" >/dev/null
ok "the zone is taken back" wait_for 3 logged 'event=zone.taken_back .*zone=z2'

curl -sSf "$control/copy" >/dev/null
put op/evacuate/z2 '{}'
ok "it is evacuated again" wait_for 3 logged 'event=zone.evacuated .*zone=z2' 2
before=$(arrivals i-4)
curl -sSf "$control/restore" >/dev/null
ok "the instances notice another restoration" wait_for 3 read_again 3
calls 10 >/dev/null
put op/evacuate/z2 '{}'
# The instances wait for 2 s for what was lost.
sleep 2.5
calls 10 >/dev/null
ok "an evacuation that was lost goes on" [ "$(arrivals i-4)" = "$before" ]
ok "without a break" [ "$(grep -c event=zone.taken_back "$dir/node1.log")" = 1 ]
curl -sSf "$control/delete?key=op/evacuate/z2" >/dev/null
ok "until its key is removed" wait_for 3 logged 'event=zone.taken_back .*zone=z2' 2

# A server that is there after all is used again when its entry stays.
curl -sSf "$control/copy" >/dev/null
curl -sSf "$control/delete?key=servers/i-2" >/dev/null
wait_for 5 logged 'event=server.gone .*server=i-2 '
curl -sSf "$control/restore" >/dev/null
ok "the instances notice the last one" wait_for 3 read_again 4
ok "the old entry is not believed" logged 'event=server.old_entry .*server=i-2 '
used_again() { calls 3 >/dev/null && [ "$(arrivals i-2)" -gt "$before" ]; }
before=$(arrivals i-2)
ok "until it has stayed for some seconds" wait_for 12 used_again
finish
