#!/usr/bin/env bash
# Guards against a frozen agent that disturbs the others or itself when it goes on, a restart with
# the same name and address that is not taken, and a planned stop that looks like a failure.
set -u
cd "$(dirname "$0")/../../.."
. tests/run/agents.sh
agents_begin
start_store
put_config 1
for n in 1 2 3; do
	register a 1 $n
done
agent_run a 1 1
agent_run a 1 2
frozen=$agent_pid
agent_run a 1 3
for n in 2 3; do
	wait_for 50 state_is $net.1.1 a-$n alive || fail "a-$n is not alive"
done

kill -STOP "$frozen"
wait_for 50 state_is $net.1.1 a-2 unreachable || fail "the frozen a-2 is not unreachable"
put_config 2
sleep 1
kill -CONT "$frozen"
for _ in 1 2 3 4 5; do
	state_is $net.1.2 a-1 unreachable && fail "a-2 takes a-1 for unreachable after its pause"
	sleep 0.1
done
wait_for 20 state_is $net.1.1 a-2 alive || fail "a-2 is not alive again"
wait_for 20 revision_is $net.1.2 2 || fail "a-2 does not learn of the change"
wait_for 20 is_ready $net.1.2 || fail "a-2 is not ready again"
grep -q "process was suspended" "$tmp/a-2.log" || fail "a-2 did not notice its pause"

kill -KILL "$frozen"
wait "$frozen" 2>/dev/null
agent_run a 1 2
frozen=$agent_pid
wait_for 50 is_ready $net.1.2 || fail "the new a-2 is not ready"
wait_for 30 state_is $net.1.1 a-2 alive || fail "the new a-2 is not alive"

kill -TERM "$frozen"
wait_for 10 state_is $net.1.1 a-2 leaving || fail "the planned stop is not announced"
wait "$frozen"
rc=$?
[ $rc -eq 0 ] || fail "the planned stop ends with $rc"
echo "ok"
