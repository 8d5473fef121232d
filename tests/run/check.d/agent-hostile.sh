#!/usr/bin/env bash
# Guards against strangers that change an agent's state, and against malformed or oversized
# messages that stop it or go uncounted. The keys are made for this test only.
set -u
cd "$(dirname "$0")/../../.."
. tests/run/agents.sh
agents_begin
start_store
put_config 1
register a 1 1
register a 1 2
agent_run a 1 1
agent_run a 1 2
wait_for 50 state_is $net.1.1 a-2 alive || fail "a-2 is not alive"
peer="--target=tcp://$net.1.1:7001"
"$bin/standin-sender" "$peer" --kind=garbage --count=20
"$bin/standin-sender" "$peer" --kind=frames --count=5
"$bin/standin-sender" "$peer" --kind=oversized
sleep 0.5
[ "$(metric $net.1.1 cassia_bus_malformed_total)" = 25 ] || fail "malformed messages are not counted"
[ "$(metric $net.1.1 cassia_bus_oversized_total)" = 1 ] || fail "the oversized message is not counted"
state_is $net.1.1 a-2 alive || fail "a-2 is lost after malformed messages"

# With keys: b-1 and b-2 hold the deployment's pair.
pub='dxjl[vbIBs}]<u?A<1v=7Sav+3YTJ2N{7nu)mq%('
sec='L}3g[f@m%QS8mds@#xYFm45?jk[zh)G5cxqEV5vf'
other_pub='0)^U*S9]PF-H7b&.Y)>LK@UmoCK03c%jisoN4YJ.'
other_sec='U/P):[bWPcgDa>)JK=!L%2@b<4QW8)xi@@!7mC2h'
register b 2 1
register b 2 2
agent_run b 2 1 --curve-public="$pub" --curve-secret="$sec"
CASSIA_CURVE_PUBLIC=$pub CASSIA_CURVE_SECRET=$sec agent_run b 2 2
wait_for 50 state_is $net.2.1 b-2 alive || fail "agents with the same key do not reach each other"
document 99 >"$tmp/99.json"
peer="--target=tcp://$net.2.1:7001"
"$bin/standin-sender" "$peer" --kind=document --document="$tmp/99.json"
"$bin/standin-sender" "$peer" --kind=document --document="$tmp/99.json" --server-key="$pub" \
	--public="$other_pub" --secret="$other_sec"
"$bin/standin-sender" "$peer" --kind=heartbeat --instance=b-2 --zone=b --server-key="$pub" \
	--public="$other_pub" --secret="$other_sec"
sleep 1
revision_is $net.2.1 1 || fail "a document without the key was taken"
state_is $net.2.1 b-2 alive || fail "a heartbeat without the key was taken"
[ "$(metric $net.2.1 cassia_bus_denied_total)" -ge 1 ] || fail "refused handshakes are not counted"
# The same document with the key is taken: the messages themselves were good.
"$bin/standin-sender" "$peer" --kind=document --document="$tmp/99.json" --server-key="$pub" \
	--public="$pub" --secret="$sec"
wait_for 20 revision_is $net.2.1 99 || fail "a document with the key is not taken"
"$bin/cassia-agentd" --instance=c-1 --zone=c --address=$net.3.1 --curve-public="$pub" \
	--curve-secret="$other_sec" --check=yes 2>/dev/null && fail "a wrong key pair passes the check"
echo "ok"
