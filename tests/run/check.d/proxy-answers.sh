#!/usr/bin/env bash
# Answers pass on whole and unchanged; cut, lost, stray and refused ones never pass as whole.
. "$(dirname "$0")/../proxy-lib.sh"
write_view
start_servers
start_proxy
direct=http://127.$run.1.11:9001

a=$(call lookups /ok -H 'X-Request-Id: one')
ok "small answer with its identity" has "$a" '^ok one'
for h in 'X-Request-Id: one' 'X-Cassia-Instance: p1' 'X-Cassia-Server: s[12]' 'X-Cassia-Ran: yes' 'X-Kind: ok'; do
	ok "header $h" has "$a" "^$h"
done
sum() { curl -sS -m 20 -H 'X-Cassia-Class: lookups' "$1" | md5sum; }
for path in /bytes/0 /bytes/1 /bytes/65536 /bytes/65537 /bytes/10000000 /chunked/10 /chunked/3000000 /until-close/500000; do
	ok "same bytes: $path" [ "$(sum "$url$path")" = "$(sum "$direct$path")" ]
done
a=$(call lookups /bytes/1234 -I)
ok "HEAD has the length and no body" has "$a" '^Content-Length: 1234'
a=$(call lookups /status/500)
ok "the server's 500 passes on" has "$a" '^HTTP/1.1 500'
ok "a 500 has run" has "$a" '^X-Cassia-Ran: yes'
a=$(call lookups /hop-headers)
ok "headers of one connection stay out" hasnt "$a" '^(X-Private|Keep-Alive|X-Cassia-Ran: no)'
ok "repeated headers pass on" [ "$(grep -c '^Set-Cookie' <<<"$a")" = 2 ]
a=$(call lookups '/head?q=%20&r=a+b' -H 'X-Own: 1' -H 'Connection: X-Drop' -H 'X-Drop: 1' -H 'X-Cassia-Hop:')
ok "target passes on as received" has "$a" '^GET /head\?q=%20&r=a\+b HTTP'
ok "own headers pass on" has "$a" '^X-Own: 1'
ok "headers named by Connection stay out" hasnt "$a" '^X-Drop: 1'
ok "class and deadline go to the server" has "$a" '^X-Cassia-Deadline-Ms: [0-9]+'

a=$(call lookups /truncate/1000)
ok "a cut small answer is an error" has "$a" '^HTTP/1.1 502'
ok "a cut answer may have run" has "$a" '"ran":"unknown"'
call lookups /truncate/2000000 -o /dev/null >/dev/null
ok "a cut long answer ends early for the caller" [ "$(curl -sS -m 9 -o /dev/null -w '%{exitcode}' -H 'X-Cassia-Class: lookups' "$url/truncate/2000000" 2>/dev/null)" = 18 ]
ok "a cut chunked answer ends early for the caller" [ "$(curl -sS -m 9 -o /dev/null -w '%{exitcode}' -H 'X-Cassia-Class: lookups' "$url/truncate-chunked/200000" 2>/dev/null)" = 18 ]
a=$(call bookings /die -d x)
ok "a server that dies: 502" has "$a" '^HTTP/1.1 502'
ok "a server that dies: unknown" has "$a" '"ran":"unknown"'

# An answer that nobody asked for, on a connection that is idle and taken again.
a=$(for _ in $(seq 8); do call lookups /late/20; sleep 0.08; done)
ok "a stray answer on an idle connection reaches nobody" hasnt "$a" 'stray'
ok "requests after it are answered" [ "$(grep -c '^HTTP/1.1 200' <<<"$a")" = 8 ]
# The same while the next request waits; the server names the request.
a=$(for _ in $(seq 8); do call lookups /late-named/60 >/dev/null; call lookups /slow/120; done)
ok "a stray answer to another request reaches nobody" hasnt "$a" 'stray'
ok "requests that met one are tried again or unknown" [ "$(grep -cE '^slow|"ran":"unknown"' <<<"$a")" = 8 ]
call lookups /ok >/dev/null
# Last, because refusals put both servers into back-off.
a=$(call lookups /refuse)
ok "all servers refuse: 503" has "$a" '^HTTP/1.1 503'
ok "all servers refuse: not run" has "$a" '"ran":"no"'
ok "all servers refuse: Retry-After" has "$a" '^Retry-After: [1-9]'
finish
