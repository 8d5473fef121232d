#!/usr/bin/env bash
# Guards against unauthenticated peers that change an agent's state, and against malformed or
# oversized messages that disrupt the agent or are not counted. The keys are used in this test only.
set -u
cd "$(dirname "$0")/../../.."
. tests/run/agents.sh
agents_setup
start_store
put_config 1
register a 1 1
register a 1 2
agent_run a 1 1
agent_run a 1 2
wait_for 50 state_is $net.1.1 a-2 alive || fail "a-1 does not report a-2 as alive"
target="--target=tcp://$net.1.1:7001"
"$bin/standin-sender" "$target" --kind=garbage --count=20
"$bin/standin-sender" "$target" --kind=frames --count=5
"$bin/standin-sender" "$target" --kind=oversized
sleep 0.5
[ "$(metric $net.1.1 cassia_bus_malformed_total)" = 25 ] || fail "malformed messages are not counted"
[ "$(metric $net.1.1 cassia_bus_oversized_total)" = 1 ] || fail "the oversized message is not counted"
state_is $net.1.1 a-2 alive || fail "a-1 does not report a-2 as alive after malformed messages"

# CURVE enabled: b-1 and b-2 share the deployment's key pair.
pub='dxjl[vbIBs}]<u?A<1v=7Sav+3YTJ2N{7nu)mq%('
sec='L}3g[f@m%QS8mds@#xYFm45?jk[zh)G5cxqEV5vf'
other_pub='0)^U*S9]PF-H7b&.Y)>LK@UmoCK03c%jisoN4YJ.'
other_sec='U/P):[bWPcgDa>)JK=!L%2@b<4QW8)xi@@!7mC2h'
register b 2 1
register b 2 2
agent_run b 2 1 --curve-public="$pub" --curve-secret="$sec"
CASSIA_CURVE_PUBLIC=$pub CASSIA_CURVE_SECRET=$sec agent_run b 2 2
wait_for 50 state_is $net.2.1 b-2 alive || fail "agents with the same key pair do not connect"
document 99 >"$tmp/99.json"
target="--target=tcp://$net.2.1:7001"
"$bin/standin-sender" "$target" --kind=document --document="$tmp/99.json"
"$bin/standin-sender" "$target" --kind=document --document="$tmp/99.json" --server-key="$pub" \
	--public="$other_pub" --secret="$other_sec"
"$bin/standin-sender" "$target" --kind=heartbeat --instance=b-2 --zone=b --server-key="$pub" \
	--public="$other_pub" --secret="$other_sec"
sleep 1
revision_is $net.2.1 1 || fail "a document from an unauthenticated peer was accepted"
state_is $net.2.1 b-2 alive || fail "a heartbeat from an unauthenticated peer was accepted"
[ "$(metric $net.2.1 cassia_bus_denied_total)" -ge 1 ] || fail "rejected CURVE handshakes are not counted"
# The same document is accepted with the right key, so the messages above were valid.
"$bin/standin-sender" "$target" --kind=document --document="$tmp/99.json" --server-key="$pub" \
	--public="$pub" --secret="$sec"
wait_for 20 revision_is $net.2.1 99 || fail "a document from an authenticated peer was not accepted"
"$bin/cassia-agentd" --instance=c-1 --zone=c --address=$net.3.1 --curve-public="$pub" \
	--curve-secret="$other_sec" --check=yes 2>/dev/null && fail "--check accepts a public key that does not match the secret key"
echo "ok"
