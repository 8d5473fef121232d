#!/usr/bin/env bash
# Guards against three faults: an agent that resumes after SIGSTOP reports wrong states or keeps an
# old configuration; peers do not accept a restarted agent with the same name and address; a planned
# stop is reported as a failure.
set -u
cd "$(dirname "$0")/../../.."
. tests/run/agents.sh
agents_setup
start_store
put_config 1
for n in 1 2 3; do
	register a 1 $n
done
agent_run a 1 1
agent_run a 1 2
a2_pid=$agent_pid
agent_run a 1 3
for n in 2 3; do
	wait_for 50 state_is $net.1.1 a-$n alive || fail "a-1 does not report a-$n as alive"
done

kill -STOP "$a2_pid"
wait_for 50 state_is $net.1.1 a-2 unreachable || fail "a-1 does not report the suspended a-2 as unreachable"
put_config 2
sleep 1
kill -CONT "$a2_pid"
for _ in 1 2 3 4 5; do
	state_is $net.1.2 a-1 unreachable && fail "a-2 reports a-1 as unreachable after resuming"
	sleep 0.1
done
wait_for 20 state_is $net.1.1 a-2 alive || fail "a-1 does not report the resumed a-2 as alive"
wait_for 20 revision_is $net.1.2 2 || fail "the resumed a-2 did not apply revision 2"
wait_for 20 is_ready $net.1.2 || fail "the resumed a-2 is not ready"
grep -q "process was suspended" "$tmp/a-2.log" || fail "a-2 did not log that it was suspended"

kill -KILL "$a2_pid"
wait "$a2_pid" 2>/dev/null
agent_run a 1 2
a2_pid=$agent_pid
wait_for 50 is_ready $net.1.2 || fail "the restarted a-2 is not ready"
wait_for 30 state_is $net.1.1 a-2 alive || fail "a-1 does not report the restarted a-2 as alive"

kill -TERM "$a2_pid"
wait_for 10 state_is $net.1.1 a-2 leaving || fail "a-1 does not report a-2 as leaving within 1 s of SIGTERM"
wait "$a2_pid"
rc=$?
[ $rc -eq 0 ] || fail "a-2 exited with status $rc after SIGTERM, expected 0"
echo "ok"
