#!/usr/bin/env bash
# Guards against an agent that needs the store: booting from a peer, keeping lists in an outage, a
# slow store, and a zone that reaches peers but no store.
set -u
cd "$(dirname "$0")/../../.."
. tests/run/agents.sh
agents_begin
start_store
control() {
	curl -sf -o /dev/null "http://$store:8501/standin/set?$1" || fail "control $1"
}
put_config 1
register a 1 1
register a 1 2
register a 1 3
register b 2 1
agent_run a 1 1
agent_run a 1 2
agent_run b 2 1
wait_for 50 state_is $net.1.1 b-1 alive || fail "b-1 is not alive"
wait_for 50 state_is $net.1.1 a-2 alive || fail "a-2 is not alive"

control outage=hang
agent_run a 1 4
agent_run a 1 3 --peers=$net.1.1:7001
wait_for 30 is_ready $net.1.3 || fail "a-3 does not boot from its peer"
wait_for 30 state_is $net.1.3 b-1 alive || fail "a-3 has no lists from its peer"
is_ready $net.1.4 && fail "a-4 is ready without any configuration"
state_is $net.1.1 b-1 alive || fail "the lists are lost in the outage"

# The zone b is cut off from the store for good: it gets a change through zone a.
control outage=none
agent_run c 3 1 --store=consul:http://$net.250.9:8500 --peers=$net.1.1:7001
wait_for 30 is_ready $net.3.1 || fail "c-1 does not boot from a peer of another zone"
put_config 2
wait_for 60 revision_is $net.1.1 2 || fail "a-1 does not get the change after the outage"
wait_for 60 revision_is $net.1.4 2 || fail "a-4 does not come up after the outage"
register c 3 1
wait_for 100 state_is $net.1.1 c-1 alive || fail "c-1 is not known to zone a"
put_config 3
wait_for 20 revision_is $net.3.1 3 || fail "c-1, cut off from the store, does not get the change"

# A slow store: the change comes late but comes, and nothing goes back meanwhile.
control delay_ms=1500
put_config 4
for addr in $net.1.1 $net.2.1 $net.3.1; do
	wait_for 60 revision_is $addr 4 || fail "no change at $addr from a slow store"
done
echo "ok"
