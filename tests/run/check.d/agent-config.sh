#!/usr/bin/env bash
# Guards against agents that do not get the configuration and the states of each other: two agents
# of one zone and one of another read the list and follow a change; the one that stops is seen.
set -u
cd "$(dirname "$0")/../../.."
. tests/run/agents.sh
agents_begin
start_store
put_config 1
register a 1 1
register a 1 2
register b 2 1
agent_run a 1 1
agent_run a 1 2
a2=$agent_pid
agent_run b 2 1
for addr in $net.1.1 $net.1.2 $net.2.1; do
	wait_for 50 revision_is "$addr" 1 || fail "no configuration at $addr"
done
wait_for 50 state_is $net.1.1 a-2 alive || fail "a-2 is not alive for a-1"
wait_for 50 state_is $net.1.1 b-1 alive || fail "b-1 is not alive for a-1"
wait_for 50 state_is $net.2.1 a-2 alive || fail "a-2 is not alive for b-1"
put_config 2
for addr in $net.1.1 $net.1.2 $net.2.1; do
	wait_for 10 revision_is "$addr" 2 || fail "revision 2 is not in force at $addr within 1 s"
done
kill -KILL "$a2"
wait_for 50 state_is $net.1.1 a-2 unreachable || fail "a-2 is not unreachable for a-1"
wait_for 30 state_is $net.2.1 a-2 unreachable || fail "a-2 is not unreachable for b-1"
echo "ok"
