#!/usr/bin/env bash
# Planned stop and callers that leave: no request is cut, look-ups stop naming the instance, a caller's
# close ends the work at the server.
. "$(dirname "$0")/../node-lib.sh"
start_all

lookup() { curl -sS "http://127.$run.$1.1:8143/v1/resolve?name=h.example&region=rz$1&zone=z$1"; }
named() { lookup 2 | grep -q "127.$run.2.1:8144"; }
ok "named before" named
document 6 5000
sleep 1
(id=long call 2 '/unsafe/x?ms=2500' -d x >"$dir/long") &
long=$!
sleep 0.3
kill -TERM "$pid_node2"
sleep 0.3
ok "not ready at once" [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.$run.2.1:8140/v1/readiness")" = 503 ]
a=$(lookup 2)
ok "not named at once" hasnt "$a" "127.$run.2.1:8144"
ok "the other instance is named in its place" has "$a" "127.$run.1.1:8144"
a=$(id=during call 2 /safe/x)
ok "connections are still served" has "$a" '^HTTP/1.1 200'
ok "and asked to close" has "$a" '^Connection: close'
wait $long
ok "running work ends" has "$(cat "$dir/long")" '^HTTP/1.1 200'
gone() { ! kill -0 "$pid_node2" 2>/dev/null; }
ok "the process ends within the grace time" wait_for 6 gone
ok "start and stop are logged" has "$(cat "$dir/node2.log")" 'event=stop.end'

curl -sS --max-time 0.5 "http://127.$run.1.1:8144/safe/x?ms=3000" -H 'Host: h.example' -H 'Cassiascale-Attempt-Id: left' >/dev/null 2>&1
sleep 0.4
ok "a caller that leaves is noticed" has "$(cat "$dir/node1.log")" 'event=request.gone .*id=left'

# An instance that is killed is not named any more after the silence limit.
start_node 3 z1
wait_for 10 ready 3
three() { curl -sS "http://127.$run.1.1:8143/v1/resolve?name=h.example&region=rz1&zone=z1" | grep -q "127.$run.3.1"; }
ok "a new instance is named" wait_for 5 three
kill -9 "$pid_node3"
not_three() { ! three; }
ok "a killed one is not" wait_for 6 not_three
finish
