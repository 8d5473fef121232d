#!/usr/bin/env bash
# Guards against a non-idempotent request that runs more than once after a lost connection, a server
# failure, a caller disconnect or a repeat with the same request id.
. "$(dirname "$0")/../proxy-lib.sh"
write_view
start_servers
start_proxy

# The server closes each connection after its response without announcing it; a resend would run twice.
for i in $(seq 20); do
	call bookings /drop/0 -d x -H "X-Request-Id: drop$i" >"$dir/drop.$i"
	call lookups /drop/0 >/dev/null
done
ok "connections closed between requests: all answered" [ "$(cat "$dir"/drop.* | grep -c '^HTTP/1.1 200')" = 20 ]
ok "connections closed between requests: one execution each" [ "$(grep -h 'run drop' "$dir"/runs.* | sort | uniq -c | awk '$1 == 1' | wc -l)" = 20 ]

a=$(call bookings /die -d x -H 'X-Request-Id: die1')
ok "response lost: outcome unknown" has "$a" '"ran":"unknown"'
ok "response lost: one execution" [ "$(runs die1)" = 1 ]
a=$(call bookings /die -d x -H 'X-Request-Id: die1')
ok "repeat of a lost request: outcome unknown" has "$a" '"ran":"unknown"'
ok "repeat of a lost request is not executed" [ "$(runs die1)" = 1 ]
ok "idempotent request is executed at least once" [ "$(call lookups /die -H 'X-Request-Id: die2' >/dev/null; runs die2)" -ge 1 ]

a=$(call bookings /ok -d x -H 'X-Request-Id: twice')
b=$(call bookings /ok -d x -H 'X-Request-Id: twice')
ok "repeat gets the first response" has "$b" '^ok twice'
ok "repeat names the first server" [ "$(grep '^X-Cassia-Server' <<<"$a")" = "$(grep '^X-Cassia-Server' <<<"$b")" ]
ok "repeat is not executed" [ "$(runs twice)" = 1 ]
a=$(call bookings /ok -d other -H 'X-Request-Id: twice')
ok "different request with the same id: 409" has "$a" '^HTTP/1.1 409'
ok "different request with the same id: not executed" has "$a" '"ran":"no"'

call bookings /slow/600 -d x -H 'X-Request-Id: join' >"$dir/join.1" &
first_pid=$!
sleep 0.2
call bookings /slow/600 -d x -H 'X-Request-Id: join' >"$dir/join.2"
wait $first_pid
ok "repeat of a pending request joins it" [ "$(cat "$dir"/join.? | grep -c '^slow')" = 2 ]
ok "joined repeat is not executed" [ "$(runs join)" = 1 ]

call bookings /slow/600 -d x -H 'X-Request-Id: join2' >/dev/null &
first_pid=$!
sleep 0.2
a=$(call bookings /slow/600 -d x -H 'X-Request-Id: join2' -H 'X-Cassia-Deadline-Ms: 100')
wait $first_pid
ok "joined repeat past its deadline: 504" has "$a" '^HTTP/1.1 504'
ok "joined repeat past its deadline: outcome unknown" has "$a" '"ran":"unknown"'

curl -sS -m 0.3 -H 'X-Cassia-Class: bookings' -H 'X-Request-Id: left' -d x "$url/slow/800" >/dev/null 2>&1
a=$(call bookings /slow/800 -d x -H 'X-Request-Id: left')
ok "repeat after a caller disconnect: outcome unknown" has "$a" '"ran":"unknown"'
ok "repeat after a caller disconnect: one execution" [ "$(runs left)" = 1 ]

call bookings /bytes/100000 -d x -H 'X-Request-Id: large' >/dev/null
a=$(call bookings /bytes/100000 -d x -H 'X-Request-Id: large')
ok "repeat of a request with a large response: executed, response not kept" has "$a" '"error":"answer_not_kept".*"ran":"yes"'
ok "repeat of a request with a large response is not executed" [ "$(runs large)" = 1 ]

a=$(call bookings /refuse -d x -H 'X-Request-Id: refused')
ok "refused: not executed" has "$a" '"ran":"no"'
sleep 1.2
a=$(call bookings /refuse -d x -H 'X-Request-Id: refused')
ok "refused request id can be reused" has "$a" '"ran":"no"'

# Requests that wait for a slot and then run longer than the maximum wait.
write_view 2 z1 2
sleep 0.5
client_pids=""
for i in $(seq 16); do
	call bookings /slow/700 -d x -H "X-Request-Id: queue$i" >"$dir/queue.$i" &
	client_pids="$client_pids $!"
done
# shellcheck disable=SC2086
wait $client_pids
a=$(cat "$dir"/queue.*)
ok "queued requests: some are executed" [ "$(grep -c '^slow' <<<"$a")" -ge 2 ]
ok "queued requests: none is executed twice" [ -z "$(grep -h 'run queue' "$dir"/runs.* | sort | uniq -d)" ]
ok "queued requests: as many executions as responses" [ "$(grep -h 'run queue' "$dir"/runs.* | wc -l)" = "$(grep -c '^slow' <<<"$a")" ]
finish
