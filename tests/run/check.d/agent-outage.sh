#!/usr/bin/env bash
# Guards against an agent that depends on the store while peers are reachable. Agents bootstrap from
# a peer, keep their member lists during a store outage, follow a slow store, and receive changes
# through peers when their zone cannot reach the store.
set -u
cd "$(dirname "$0")/../../.."
. tests/run/agents.sh
agents_setup
start_store
set_store() {
	curl -sf -o /dev/null "http://$store:8501/standin/set?$1" || fail "standin-store rejected the setting $1"
}
put_config 1
register a 1 1
register a 1 2
register a 1 3
register b 2 1
agent_run a 1 1
agent_run a 1 2
agent_run b 2 1
wait_for 50 state_is $net.1.1 b-1 alive || fail "a-1 does not report b-1 as alive"
wait_for 50 state_is $net.1.1 a-2 alive || fail "a-1 does not report a-2 as alive"

set_store outage=hang
agent_run a 1 4
agent_run a 1 3 --peers=$net.1.1:7001
wait_for 30 is_ready $net.1.3 || fail "a-3 did not bootstrap from its peer"
wait_for 30 state_is $net.1.3 b-1 alive || fail "a-3 did not get the member lists from its peer"
is_ready $net.1.4 && fail "a-4 is ready without a configuration"
state_is $net.1.1 b-1 alive || fail "a-1 lost its member lists during the store outage"

# Zone c never reaches the store and receives changes through zone a.
set_store outage=none
agent_run c 3 1 --store=consul:http://$net.250.9:8500 --peers=$net.1.1:7001
wait_for 30 is_ready $net.3.1 || fail "c-1 did not bootstrap from a peer in another zone"
put_config 2
wait_for 60 revision_is $net.1.1 2 || fail "a-1 did not apply revision 2 after the outage"
wait_for 60 revision_is $net.1.4 2 || fail "a-4 did not load revision 2 after the outage"
register c 3 1
wait_for 100 state_is $net.1.1 c-1 alive || fail "a-1 does not report c-1 as alive"
put_config 3
wait_for 20 revision_is $net.3.1 3 || fail "c-1 did not receive revision 3 through a peer"

# A slow store delays the change but does not prevent it.
set_store delay_ms=1500
put_config 4
for addr in $net.1.1 $net.2.1 $net.3.1; do
	wait_for 60 revision_is $addr 4 || fail "agent at $addr did not apply revision 4 from a slow store"
done
echo "ok"
