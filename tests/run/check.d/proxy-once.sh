#!/usr/bin/env bash
# A non-idempotent request runs at most once, whatever its connection, server or caller does.
. "$(dirname "$0")/../proxy-lib.sh"
write_view
start_servers
start_proxy

# The server closes each connection after its answer, without a word: a resend would run twice.
for i in $(seq 20); do
	call bookings /drop/0 -d x -H "X-Request-Id: drop$i" >"$dir/drop.$i"
	call lookups /drop/0 >/dev/null
done
ok "connections closed between requests: all answered" [ "$(cat "$dir"/drop.* | grep -c '^HTTP/1.1 200')" = 20 ]
ok "connections closed between requests: one run each" [ "$(grep -h 'run drop' "$dir"/runs.* | sort | uniq -c | awk '$1 == 1' | wc -l)" = 20 ]

a=$(call bookings /die -d x -H 'X-Request-Id: die1')
ok "lost after sending: unknown" has "$a" '"ran":"unknown"'
ok "lost after sending: one run" [ "$(runs die1)" = 1 ]
a=$(call bookings /die -d x -H 'X-Request-Id: die1')
ok "a repeat of a lost request: unknown" has "$a" '"ran":"unknown"'
ok "a repeat of a lost request does not run" [ "$(runs die1)" = 1 ]
ok "an idempotent one is tried again" [ "$(call lookups /die -H 'X-Request-Id: die2' >/dev/null; runs die2)" -ge 1 ]

a=$(call bookings /ok -d x -H 'X-Request-Id: twice')
b=$(call bookings /ok -d x -H 'X-Request-Id: twice')
ok "a repeat gets the first answer" has "$b" '^ok twice'
ok "a repeat names the first server" [ "$(grep '^X-Cassia-Server' <<<"$a")" = "$(grep '^X-Cassia-Server' <<<"$b")" ]
ok "a repeat does not run" [ "$(runs twice)" = 1 ]
a=$(call bookings /ok -d other -H 'X-Request-Id: twice')
ok "another request with the same id: 409" has "$a" '^HTTP/1.1 409'
ok "another request with the same id: not run" has "$a" '"ran":"no"'

call bookings /slow/600 -d x -H 'X-Request-Id: join' >"$dir/join.1" &
j1=$!
sleep 0.2
call bookings /slow/600 -d x -H 'X-Request-Id: join' >"$dir/join.2"
wait $j1
ok "a repeat while the first runs joins it" [ "$(cat "$dir"/join.? | grep -c '^slow')" = 2 ]
ok "a joined repeat does not run" [ "$(runs join)" = 1 ]

call bookings /slow/600 -d x -H 'X-Request-Id: join2' >/dev/null &
j1=$!
sleep 0.2
a=$(call bookings /slow/600 -d x -H 'X-Request-Id: join2' -H 'X-Cassia-Deadline-Ms: 100')
wait $j1
ok "a joined repeat past its deadline: unknown" has "$a" '^HTTP/1.1 504'
ok "a joined repeat past its deadline does not claim that nothing ran" has "$a" '"ran":"unknown"'

curl -sS -m 0.3 -H 'X-Cassia-Class: bookings' -H 'X-Request-Id: left' -d x "$url/slow/800" >/dev/null 2>&1
a=$(call bookings /slow/800 -d x -H 'X-Request-Id: left')
ok "after the caller left: unknown" has "$a" '"ran":"unknown"'
ok "after the caller left: one run" [ "$(runs left)" = 1 ]

call bookings /bytes/100000 -d x -H 'X-Request-Id: large' >/dev/null
a=$(call bookings /bytes/100000 -d x -H 'X-Request-Id: large')
ok "the outcome of a large answer keeps its status" has "$a" '"error":"answer_not_kept".*"ran":"yes"'
ok "a repeat of a large answer does not run" [ "$(runs large)" = 1 ]

a=$(call bookings /refuse -d x -H 'X-Request-Id: refused')
ok "refused before running: not run" has "$a" '"ran":"no"'
sleep 1.2
a=$(call bookings /refuse -d x -H 'X-Request-Id: refused')
ok "a refused id can be used again" has "$a" '"ran":"no"'

# Requests that wait for a slot and then run longer than they could have waited.
write_view 2 z1 2
sleep 0.5
jobs=""
for i in $(seq 16); do
	call bookings /slow/700 -d x -H "X-Request-Id: queue$i" >"$dir/queue.$i" &
	jobs="$jobs $!"
done
# shellcheck disable=SC2086
wait $jobs
a=$(cat "$dir"/queue.*)
ok "queued requests: some run" [ "$(grep -c '^slow' <<<"$a")" -ge 2 ]
ok "queued requests: none runs twice" [ -z "$(grep -h 'run queue' "$dir"/runs.* | sort | uniq -d)" ]
ok "queued requests: as many runs as answers" [ "$(grep -h 'run queue' "$dir"/runs.* | wc -l)" = "$(grep -c '^slow' <<<"$a")" ]
finish
