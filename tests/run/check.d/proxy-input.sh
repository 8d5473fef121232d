#!/usr/bin/env bash
# Guards against invalid requests that get anything but one JSON line with a 4xx status (a hang, a
# crash or a partial response), and against invalid flags that are accepted or poorly reported.
. "$(dirname "$0")/../proxy-lib.sh"
write_view
start_servers
start_proxy

# expect DESCRIPTION STATUS ERROR REQUEST
expect() {
	local a
	a=$(send_raw "$4" 0.3)
	ok "$1: $2" has "$a" "^HTTP/1.1 $2 "
	ok "$1: $3, not executed" has "$a" "^\{\"error\":\"$3\".*\"ran\":\"no\",\"request_id\":\"[^\"]+\"\}$"
}
h='HTTP/1.1\r\nHost: x\r\n'
c="${h}X-Cassia-Class: lookups\\r\\n"
expect "no class" 400 no_class "GET / $h\r\n"
expect "unknown class" 404 unknown_class "GET / ${h}X-Cassia-Class: nope\r\n\r\n"
expect "duplicate class" 400 bad_header "GET / ${c}X-Cassia-Class: lookups\r\n\r\n"
expect "space in the target" 400 bad_target "GET /a b $c\r\n"
expect "target without a slash" 400 bad_target "GET ok $c\r\n"
expect "byte over 126 in the target" 400 bad_target "GET /\x80 $c\r\n"
expect "control character in a header" 400 bad_header "GET / ${c}X-A: a\x01b\r\n\r\n"
expect "space in the request id" 400 bad_request_id "GET / ${c}X-Request-Id: a b\r\n\r\n"
expect "request id too long" 400 bad_request_id "GET / ${c}X-Request-Id: $(printf 'a%.0s' $(seq 65))\r\n\r\n"
expect "deadline 0" 400 bad_deadline "GET / ${c}X-Cassia-Deadline-Ms: 0\r\n\r\n"
expect "deadline not a number" 400 bad_deadline "GET / ${c}X-Cassia-Deadline-Ms: soon\r\n\r\n"
expect "deadline too long" 400 bad_deadline "GET / ${c}X-Cassia-Deadline-Ms: 600001\r\n\r\n"
expect "invalid hop" 400 bad_hop "GET / ${c}X-Cassia-Hop: 2\r\n\r\n"
expect "Content-Length with Transfer-Encoding" 400 bad_framing "POST / ${c}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
expect "unsupported transfer coding" 400 bad_framing "POST / ${c}Transfer-Encoding: gzip\r\n\r\n0\r\n\r\n"
expect "CONNECT" 400 bad_method "CONNECT a:1 $c\r\n"
expect "invalid method" 400 bad_method "G(T / $c\r\n"
expect "20 KB of headers" 431 headers_too_large "GET / ${c}X-Big: $(head -c 20000 /dev/zero | tr '\0' a)\r\n\r\n"
expect "body over the limit" 413 too_large "POST / ${c}Content-Length: 70000\r\n\r\nabc"
expect "unknown class with a body" 404 unknown_class "POST / ${h}X-Cassia-Class: nope\r\nContent-Length: 10\r\n\r\n0123456789"
expect "unknown admin path" 404 unknown_path "GET /_cassia/nope $h\r\n"
expect "method not allowed on an admin path" 405 bad_method "POST /_cassia/healthz ${h}Content-Length: 3\r\n\r\nabc"

# Malformed HTTP: libmicrohttpd answers with 4xx itself or closes the connection.
for bytes in 'GARBAGE\r\n\r\n' '\x16\x03\x01\x02\x00\x01\x00\r\n\r\n' "GET / ${c}no colon\r\n\r\n" \
	"POST / ${c}Content-Length: -5\r\n\r\n" "POST /ok ${c}Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n" \
	"GET / ${c}X-Big: $(head -c 100000 /dev/zero | tr '\0' a)\r\n\r\n"; do
	a=$(send_raw "$bytes" 2)
	ok "malformed HTTP: no success" lacks "$a" '^HTTP/1.1 [235]'
done
a=$(send_raw "GET /ok ${c}X-Big: $(head -c 15000 /dev/zero | tr '\0' a)\r\n\r\n" 0.5)
ok "15 KB of headers are accepted" has "$a" '^HTTP/1.1 200'
a=$(send_raw "GET /ok ${c}\r\nGET /ok ${c}\r\n" 0.5)
ok "two pipelined requests: two responses" [ "$(grep -c '^ok' <<<"$a")" = 2 ]
ok "bad input is counted" [ "$(metric cassia_proxy_bad_input_total)" -ge 15 ]
a=$(curl -sS "$url/_cassia/v1/state")
ok "state lists the classes" has "$a" '"class":"lookups"'

p=${PROXYD:-$build/bin/cassia-proxyd}
flags() {
	local want=$1 text=$2 out rc
	shift 2
	out=$("$p" "$@" 2>&1 </dev/null)
	rc=$?
	ok "flags $*: exit $rc" [ $rc -ne 0 ]
	ok "flags $*: names the error" has "$out" "$text"
	[ "$want" = - ] || ok "flags $*: names the allowed values" has "$out" "$want"
}
base="--instance a --zone z --address $proxy"
# shellcheck disable=SC2086
{
	flags 'whole number' '--port' $base --port 70000
	flags 'one of' '--choice' $base --choice best
	flags 'IPv4' '--address' --instance a --zone z --address nowhere
	flags 'A-Z' '--zone' --instance a --zone 'a b' --address "$proxy"
	flags 'tcp://' 'agent' $base --agent nowhere
	flags - 'required' --zone z
	flags - 'nknown option' $base --nope 1
	flags - 'cannot listen' $base --port 8080
	ok "--check accepts valid flags" "$p" $base --check yes
	ok "--version" "$p" --version
}
finish
