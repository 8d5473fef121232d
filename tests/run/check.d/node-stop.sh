#!/usr/bin/env bash
# Guards against a planned stop that cuts requests or leaves the instance in look-ups, a killed instance
# that stays in look-ups, and a caller's disconnect that is not detected.
. "$(dirname "$0")/../node-lib.sh"
start_all

lookup() { curl -sS "http://127.$run.$1.1:8143/v1/resolve?name=h.example&region=rz$1&zone=z$1"; }
node2_resolved() { lookup 2 | grep -q "127.$run.2.1:8144"; }
ok "instance 2 is in look-ups before the stop" node2_resolved
document 6 5000
sleep 1
(id=long call 2 '/unsafe/x?ms=2500' -d x >"$dir/long") &
long_pid=$!
sleep 0.3
kill -TERM "$pid_node2"
sleep 0.3
ok "not ready after SIGTERM" [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.$run.2.1:8140/v1/readiness")" = 503 ]
a=$(lookup 2)
ok "not in look-ups after SIGTERM" lacks "$a" "127.$run.2.1:8144"
ok "look-ups return the other instance" has "$a" "127.$run.1.1:8144"
a=$(id=during call 2 /safe/x)
ok "new requests are still served" has "$a" '^HTTP/1.1 200'
ok "responses have Connection: close" has "$a" '^Connection: close'
wait $long_pid
ok "running request completes" has "$(cat "$dir/long")" '^HTTP/1.1 200'
exited() { ! kill -0 "$pid_node2" 2>/dev/null; }
ok "process exits within the grace period" wait_for 6 exited
ok "end of the stop is logged" has "$(cat "$dir/node2.log")" 'event=stop.end'

curl -sS --max-time 0.5 "http://127.$run.1.1:8144/safe/x?ms=3000" -H 'Host: h.example' -H 'Cassiascale-Attempt-Id: left' >/dev/null 2>&1
sleep 0.4
ok "a caller's disconnect is logged" has "$(cat "$dir/node1.log")" 'event=request.gone .*id=left'

# A killed instance is removed from look-ups after the failure detection time-out.
start_node 3 z1
wait_for 10 ready 3
node3_resolved() { curl -sS "http://127.$run.1.1:8143/v1/resolve?name=h.example&region=rz1&zone=z1" | grep -q "127.$run.3.1"; }
ok "a new instance is in look-ups" wait_for 5 node3_resolved
kill -9 "$pid_node3"
node3_not_resolved() { ! node3_resolved; }
ok "a killed instance is removed from look-ups" wait_for 6 node3_not_resolved
finish
