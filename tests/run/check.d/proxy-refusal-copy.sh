#!/usr/bin/env bash
# Guards against a refusal that belongs to an earlier request on a kept connection and is taken for that of
# the request under way: the caller is told that a request did not run which ran.
. "$(dirname "$0")/../proxy-lib.sh"
write_view
# One server, so that requests follow each other on its connection.
# shellcheck disable=SC2154
sed -i '/"name":"s1"/s/,$/],/; /^{"name":"s2"/d' "$dir/view.json"
start_servers
start_proxy
rounds=4

# refused_though_run NAME: prints the answers "not executed" to requests NAME1 and so on that the server ran.
refused_though_run() {
	local i
	for i in $(seq $rounds); do
		[ "$(runs "$1$i")" = 0 ] || grep -H '"ran":"no"' "$dir/$1.$i"
	done
}

# end_backoff: sends requests until one is answered, so that the server's back-off is over and the next one
# short; the kept connection has then been used.
is_answered() { call lookups /ok | grep -q '^ok'; }
end_backoff() { wait_for 10 is_answered || echo "the server stays in back-off"; }

a=$(call lookups /refuse)
ok "refusal without id on a new connection: 503" has "$a" '^HTTP/1.1 503'
ok "refusal without id on a new connection: not executed" has "$a" '"error":"no_server".*"ran":"no"'
ok "refusal without id on a new connection: Retry-After" has "$a" '^Retry-After: [1-9]'
end_backoff
a=$(call lookups /refuse-named)
ok "refusal with id on a used connection: 503" has "$a" '^HTTP/1.1 503'
ok "refusal with id on a used connection: not executed" has "$a" '"error":"no_server".*"ran":"no"'
ok "refusal with id on a used connection: Retry-After" has "$a" '^Retry-After: [1-9]'
end_backoff
a=$(call lookups /refuse)
ok "refusal without id on a used connection: 502" has "$a" '^HTTP/1.1 502'
ok "refusal without id on a used connection: outcome unknown" has "$a" '"ran":"unknown"'
end_backoff
a=$(call bookings /refuse -d x)
ok "refusal without id of a request that may run once: 503" has "$a" '^HTTP/1.1 503'
ok "refusal without id of a request that may run once: not executed" has "$a" '"error":"no_server".*"ran":"no"'

# The refusal arrives while the next request is pending, whose response follows on the same connection.
for i in $(seq $rounds); do
	end_backoff
	call lookups /late-refusal/60 >/dev/null
	call lookups /slow/1800 -H "X-Request-Id: pending$i" >"$dir/pending.$i"
	sleep 1
	call lookups /ok -H "X-Request-Id: next$i" >"$dir/next.$i"
done
ok "refusal of an earlier request: the pending one ran" [ "$(grep -h '^run pending' "$dir"/runs.* | sort -u | wc -l)" = $rounds ]
ok "refusal of an earlier request: the pending one is not reported as not executed" [ -z "$(refused_though_run pending)" ]
ok "refusal of an earlier request: the pending one is answered or unknown" [ "$(cat "$dir"/pending.* | grep -cE '^slow|"ran":"unknown"')" = $rounds ]
ok "refusal of an earlier request: the response to the pending one reaches no other" lacks "$(cat "$dir"/next.*)" '^(slow|first)'
ok "refusal of an earlier request: the one after it is answered" [ "$(cat "$dir"/next.* | grep -c '^ok next')" = $rounds ]

# The copy arrives while the next request is pending, after the back-off of 1 s.
for i in $(seq $rounds); do
	end_backoff
	call lookups /refuse-twice/1600 >/dev/null
	sleep 1.1
	call lookups /slow/800 -H "X-Request-Id: copy$i" >"$dir/copy.$i"
done
ok "refusal that is sent twice: the next request is not reported as not executed" [ -z "$(refused_though_run copy)" ]
ok "refusal that is sent twice: the next request is answered" [ "$(cat "$dir"/copy.* | grep -c '^slow')" = $rounds ]
finish
