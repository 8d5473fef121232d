#!/usr/bin/env bash
# The whole path of cassia-node beside a stand-in of the platform: routes, answers, promises, look-ups,
# documents, draining servers, an absent store.
. "$(dirname "$0")/../node-lib.sh"
start_all

id=a1
a=$(call 1 '/safe/x?ms=5')
ok "a request is answered" has "$a" '^HTTP/1.1 200'
ok "with the server's signature" has "$a" '^Cassiascale-Response-Signature: 3e1b.07.5a2'
ok "and its id" has "$a" '^Cassiascale-Attempt-Id: a1'
ok "the server got method and path" has "$a" 'path=/safe/x id=a1'
ok "it ran once" [ "$(runs a1)" = 1 ]
ok "an unknown path is refused" has "$(call 1 /other/)" '^HTTP/1.1 404'
raw() { curl -sS -i --max-time 5 "http://127.$run.1.1:8144/safe/x" "$@"; }
ok "an unknown host too" has "$(raw -H 'Host: g.example')" '^HTTP/1.1 404'
# Bytes as they are: curl would mend them.
bytes() { (printf '%b' "$1" >&3 && timeout 2 cat <&3) 3<>"/dev/tcp/127.$run.1.1/8144" 2>/dev/null; }
get='GET /safe/x HTTP/1.1\r\n'
ok "two hosts are refused" has "$(bytes "${get}Host: h.example\r\nHost: g.example\r\n\r\n")" '^HTTP/1.1 400'
ok "a space before the colon is refused" has "$(bytes "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length : 3\r\n\r\nabc")" '^HTTP/1.1 400'
ok "a negative length is refused" has "$(bytes "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: -3\r\n\r\nabc")" '^HTTP/1.1 400'
ok "length and chunks together are refused" has "$(bytes "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")" '^HTTP/1.1 400'
# RFC 9112, section 5.2: refused, or joined before it goes on.
ok "a folded header is joined" has "$(bytes "${get}Host: h.example\r\nX-A: b\r\n c\r\n\r\n")" '^HTTP/1.1 200'
a=$(bytes "GET http://h.example/safe/x HTTP/1.1\r\nHost: h.example\r\n\r\n")
ok "an absolute target is taken" has "$a" '^HTTP/1.1 200'
ok "and names the path to the server" has "$a" 'path=/safe/x'
ok "a deadline that cannot be read" has "$(raw -H 'Host: h.example' -H 'Cassiascale-Deadline-Milliseconds: -5')" '^HTTP/1.1 400'

id=b1
a=$(call 1 '/unsafe/x?mode=shed' -d body)
ok "a shed request is refused as not run" has "$a" '^HTTP/1.1 503'
ok "with a time to come back" has "$a" '^Retry-After: [0-9]+\.[0-9]+'
ok "and did not run" [ "$(runs b1)" = 0 ]
id=b2
a=$(call 1 '/unsafe/x?mode=no-signature' -d body)
ok "an answer without signature is no success" has "$a" '^HTTP/1.1 502'
ok "and is not sent again" [ "$(runs b2)" = 1 ]
id=b3
a=$(call 1 '/unsafe/x?mode=wrong-id' -d body)
ok "an answer to another request is not passed on" has "$a" '^HTTP/1.1 502'
id=b4
a=$(call 1 '/unsafe/x?mode=busy-ran' -d body)
ok "a 503 of a request that ran is not passed on as a promise" has "$a" '^HTTP/1.1 502'
ok "it ran once" [ "$(runs b4)" = 1 ]
id=b5
a=$(call 1 '/safe/x?mode=error')
ok "a server's 500 is passed on" has "$a" '^HTTP/1.1 500'
ok "after a second send of a safe request" [ "$(runs b5)" = 2 ]
id=b6
a=$(call 1 '/unsafe/x?ms=4000' -d x)
ok "the route's timeout ends with 504" has "$a" '^HTTP/1.1 504'

head -c 300000 /dev/zero >"$dir/photo"
id=c1
a=$(call 1 /upload/x -H 'Content-Type: image/jpeg' --data-binary "@$dir/photo")
ok "an upload passes" has "$a" '^HTTP/1.1 200'
head -c 3000000 /dev/zero >"$dir/photo"
id=c2
a=$(call 1 /upload/x -H 'Transfer-Encoding: chunked' --data-binary "@$dir/photo")
ok "a large one in chunks streams" has "$a" '^HTTP/1.1 200'

a=$(curl -sS "http://127.$run.1.1:8143/v1/resolve?name=h.example&region=rz1&zone=z1")
ok "a look-up names the instance of the zone" has "$a" "\"127.$run.1.1:8144\""
ok "with a time to live" has "$a" '"ttl-s":'

document 7 900
sleep 1
id=d1
s=$(date +%s%N)
a=$(call 1 '/unsafe/x?ms=4000' -d x)
ms=$((($(date +%s%N) - s) / 1000000))
ok "a new timeout is in force" [ $ms -lt 1300 ]
curl -sSf "$control/put?key=op/config" -d '{"version":"r9","routes":[{"name":1' >/dev/null
sleep 1
unset id
ok "a document that cannot be read changes nothing" has "$(call 1 /safe/x)" '^HTTP/1.1 200'
curl -sSf "$control/put?key=servers/i-9" -d '{"service":"svc","address":5}' >/dev/null
sleep 0.6
ok "a broken entry names no server" has "$(call 1 /safe/x)" '^HTTP/1.1 200'

kill -USR1 "$pid_platform"
sleep 1
a=""
for i in $(seq 40); do a="$a$(call $((i % 2 + 1)) "/safe/x" -H "Cookie: Cassiascale-Affinity-Key=$i")"; done
ok "a draining server gets nothing" hasnt "$a" 'server=i-1 '
curl -sSf -X POST "$control/put?key=op/evacuate/z2" -d '{}' >/dev/null
sleep 1
a=""
for i in $(seq 40); do a="$a$(call $((i % 2 + 1)) "/safe/x" -H "Cookie: Cassiascale-Affinity-Key=$i")"; done
ok "an evacuated zone gets nothing" hasnt "$a" 'server=i-[34] '
ok "the others go on" has "$a" 'server=i-2 '

curl -sSf "$control/mode?mode=silent" >/dev/null
lost() { grep -q 'event=store.lost' "$dir/node1.log"; }
# A watch that waits is answered after 1.1 s at most; the next one fails after 1.8 s; 200 ms until the log is written.
ok "its loss is logged" wait_for 4 lost
ok "a silent store stops nothing" has "$(call 1 /safe/x)" '^HTTP/1.1 200'
curl -sSf "$control/mode?mode=ok" >/dev/null
sleep 2
ok "its return too" has "$(cat "$dir/node1.log")" 'event=store.regained'
a=$(curl -sS "http://127.$run.1.1:9464/metrics")
ok "metrics are served" has "$a" '^cassia_node_requests_total [1-9]'
finish
