#!/usr/bin/env bash
# Guards against responses that the proxy alters, and against truncated, lost, unsolicited or refused
# responses that reach a caller as complete ones.
. "$(dirname "$0")/../proxy-lib.sh"
write_view
start_servers
start_proxy
direct=http://127.$run.1.11:9001

a=$(call lookups /ok -H 'X-Request-Id: one')
ok "small response carries its request id" has "$a" '^ok one'
for h in 'X-Request-Id: one' 'X-Cassia-Instance: p1' 'X-Cassia-Server: s[12]' 'X-Cassia-Ran: yes' 'X-Kind: ok'; do
	ok "response has header $h" has "$a" "^$h"
done
sum() { curl -sS -m 20 -H 'X-Cassia-Class: lookups' "$1" | md5sum; }
for path in /bytes/0 /bytes/1 /bytes/65536 /bytes/65537 /bytes/10000000 /chunked/10 /chunked/3000000 /until-close/500000; do
	ok "body is unchanged: $path" [ "$(sum "$url$path")" = "$(sum "$direct$path")" ]
done
a=$(call lookups /bytes/1234 -I)
ok "HEAD response has Content-Length and no body" has "$a" '^Content-Length: 1234'
a=$(call lookups /status/500)
ok "server's 500 is forwarded" has "$a" '^HTTP/1.1 500'
ok "500 is marked as executed" has "$a" '^X-Cassia-Ran: yes'
a=$(call lookups /hop-headers)
ok "hop-by-hop response headers are removed" lacks "$a" '^(X-Private|Keep-Alive: timeout=5|X-Cassia-Ran: no)'
ok "the proxy states its own idle timeout, and no other" [ "$(grep -i '^Keep-Alive' <<<"$a" | tr -d '\r')" = "Keep-Alive: timeout=29" ]
ok "repeated response headers are forwarded" [ "$(grep -c '^Set-Cookie' <<<"$a")" = 2 ]
a=$(call lookups '/head?q=%20&r=a+b' -H 'X-Own: 1' -H 'Connection: X-Drop' -H 'X-Drop: 1' -H 'X-Cassia-Hop:')
ok "request target is forwarded unchanged" has "$a" '^GET /head\?q=%20&r=a\+b HTTP'
ok "custom request headers are forwarded" has "$a" '^X-Own: 1'
ok "request headers named by Connection are removed" lacks "$a" '^X-Drop: 1'
ok "deadline is forwarded to the server" has "$a" '^X-Cassia-Deadline-Ms: [0-9]+'

a=$(call lookups /truncate/1000)
ok "truncated small response gives 502" has "$a" '^HTTP/1.1 502'
ok "truncated response is marked as possibly executed" has "$a" '"ran":"unknown"'
call lookups /truncate/2000000 -o /dev/null >/dev/null
ok "truncated large response is truncated for the caller" [ "$(curl -sS -m 9 -o /dev/null -w '%{exitcode}' -H 'X-Cassia-Class: lookups' "$url/truncate/2000000" 2>/dev/null)" = 18 ]
ok "truncated chunked response is truncated for the caller" [ "$(curl -sS -m 9 -o /dev/null -w '%{exitcode}' -H 'X-Cassia-Class: lookups' "$url/truncate-chunked/200000" 2>/dev/null)" = 18 ]
ok "reset response without a length is truncated for the caller" [ "$(curl -sS -m 9 -o /dev/null -w '%{exitcode}' -H 'X-Cassia-Class: lookups' "$url/reset-body/3000000" 2>/dev/null)" = 18 ]
a=$(call bookings /die -d x)
ok "server closes without a response: 502" has "$a" '^HTTP/1.1 502'
ok "server closes without a response: outcome unknown" has "$a" '"ran":"unknown"'

# The server sends an unsolicited response on an idle connection that is reused afterwards.
a=$(for _ in $(seq 8); do call lookups /late/20; sleep 0.08; done)
ok "unsolicited response on an idle connection is discarded" lacks "$a" 'stray'
ok "requests after an unsolicited response succeed" [ "$(grep -c '^HTTP/1.1 200' <<<"$a")" = 8 ]
# The same while the next request is pending; the response names another request id.
a=$(for _ in $(seq 8); do call lookups /late-named/60 >/dev/null; call lookups /slow/120; done)
ok "response with another request id is discarded" lacks "$a" 'stray'
ok "requests that received one are retried or unknown" [ "$(grep -cE '^slow|"ran":"unknown"' <<<"$a")" = 8 ]
call lookups /ok >/dev/null
# Last, because refusals put both servers into back-off.
a=$(call lookups /refuse-named)
ok "all servers refuse: 503" has "$a" '^HTTP/1.1 503'
ok "all servers refuse: not executed" has "$a" '"ran":"no"'
ok "all servers refuse: Retry-After" has "$a" '^Retry-After: [1-9]'
finish
