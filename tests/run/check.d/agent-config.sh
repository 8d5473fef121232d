#!/usr/bin/env bash
# Guards against agents that miss a configuration change or a change in a peer's state. Two agents
# in one zone and one in another load the configuration, apply a new revision within 1 s and detect
# the failure of a peer.
set -u
cd "$(dirname "$0")/../../.."
. tests/run/agents.sh
agents_setup
start_store
put_config 1
register a 1 1
register a 1 2
register b 2 1
agent_run a 1 1
agent_run a 1 2
a2_pid=$agent_pid
agent_run b 2 1
for addr in $net.1.1 $net.1.2 $net.2.1; do
	wait_for 50 revision_is "$addr" 1 || fail "agent at $addr did not load revision 1"
done
wait_for 50 state_is $net.1.1 a-2 alive || fail "a-1 does not report a-2 as alive"
wait_for 50 state_is $net.1.1 b-1 alive || fail "a-1 does not report b-1 as alive"
wait_for 50 state_is $net.2.1 a-2 alive || fail "b-1 does not report a-2 as alive"
put_config 2
for addr in $net.1.1 $net.1.2 $net.2.1; do
	wait_for 10 revision_is "$addr" 2 || fail "agent at $addr did not apply revision 2 within 1 s"
done
kill -KILL "$a2_pid"
wait_for 50 state_is $net.1.1 a-2 unreachable || fail "a-1 does not report the killed a-2 as unreachable"
wait_for 30 state_is $net.2.1 a-2 unreachable || fail "b-1 does not report the killed a-2 as unreachable"
echo "ok"
