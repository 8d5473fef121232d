#!/usr/bin/env bash
# Guards against a planned stop in calm whose last requests are cut: clients send on open connections late in the
# grace period of 6 s, while another request keeps the process running. Each must get its answer, or be refused as
# not run; no connection may end without an answer while its request is in progress. A request that may run once is
# sent to a server only if its whole deadline is before the end: it may take many times the mean of its route.
. "$(dirname "$0")/../node-lib.sh"
start_all
document 6 5000
sleep 1
# Requests that take 900 ms, and uploads that take 150 ms, set what is expected of their routes.
warm=""
for i in 1 2 3 4 5 6; do
	call 2 '/unsafe/x?ms=900' -d x >/dev/null &
	warm="$warm $!"
	call 2 '/upload/x?ms=150' -d x >/dev/null &
	warm="$warm $!"
done
# shellcheck disable=SC2086
wait $warm
n=0
late=""
# late_request DELAY MS ID [KIND [DEADLINE_MS]]: opens a connection now, sends a request of MS ms after DELAY s.
late_request() {
	(
		exec 3<>"/dev/tcp/127.$run.2.1/8144"
		sleep "$1"
		printf 'POST /%s/x?ms=%s HTTP/1.1\r\nHost: h.example\r\nCassiascale-Attempt-Id: %s\r\nCassiascale-Deadline-Milliseconds: %s\r\nContent-Length: 1\r\n\r\nx' \
			"${4:-unsafe}" "$2" "$3" "${5:-3000}" >&3
		timeout 7 cat <&3 >"$dir/$3"
	) 2>/dev/null &
	late="$late $!"
}
# Runs for 4.5 s: the process stays for it.
late_request 0 4500 long unsafe 8000
for delay in 0.2 1.2 1.8 2.4 3.0 3.4 4.2 5.0; do
	for ms in 20 900; do
		n=$((n + 1))
		late_request "$delay" $ms "l-$n"
	done
done
# One that may be repeated is taken while the stop is announced, and still at work at the end.
late_request 1.0 20000 over safe 8000
# One that may run once and could outlast the process, and a straggler of a fast route.
late_request 1.0 20000 over-once unsafe 8000
late_request 3.3 2600 straggler upload 3000
sleep 0.1
kill -TERM "$pid_node2"
# shellcheck disable=SC2086
wait $late
ok "the running request completes" has "$(cat "$dir/long")" '^HTTP/1.1 200'
unanswered=0
untrue=0
served=0
for i in $(seq $n); do
	a=$(cat "$dir/l-$i")
	r=$(runs "l-$i")
	case $a in
	"HTTP/1.1 200"*) served=$((served + 1)) ;;
	"HTTP/1.1 503"*) [ "$r" = 0 ] || untrue=$((untrue + 1)) ;;
	"") [ "$r" = 0 ] || unanswered=$((unanswered + 1)) ;;
	*) untrue=$((untrue + 1)) ;;
	esac
done
ok "no request that ran is left without an answer ($unanswered)" [ $unanswered = 0 ]
ok "no refusal is untrue ($untrue)" [ $untrue = 0 ]
ok "requests in the first seconds are served ($served of $n)" [ $served -ge 6 ]
ok "a request that outlasts the grace period is answered" has "$(cat "$dir/over")" '^HTTP/1.1 504'
for id in over-once straggler; do
	ok "$id is refused" has "$(cat "$dir/$id")" '^HTTP/1.1 503'
	ok "$id has not run" [ "$(runs $id)" = 0 ]
done
ok "the stop is within the grace period" has "$(cat "$dir/node2.log")" 'event=stop.end .*requests=0'
finish
