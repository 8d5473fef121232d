#!/usr/bin/env bash
# Requests that leave the zone go through the other zone's proxy, with truthful ends.
. "$(dirname "$0")/../proxy-lib.sh"
write_view 200 z2
start_servers
start_proxy
other=127.$run.2.1
start agent2 "$build/bin/standin-agent" "$other" 7003 "$dir/view.json"
start proxy2 "${PROXYD:-$build/bin/cassia-proxyd}" --instance p2 --zone z2 --address "$other" --port 8080 --agent "tcp://$other:7003"
wait_for 10 curl -sSf "http://$other:8080/_cassia/readyz"
head -c 20000000 /dev/urandom >"$dir/photo"

a=$(call lookups /ok -H 'X-Request-Id: hop1')
ok "answered through the other zone" has "$a" '^ok hop1'
ok "the answer names the instance that served it" has "$a" '^X-Cassia-Instance: p2'
ok "the answer names the server" has "$a" '^X-Cassia-Server: s[12]'
a=$(call bookings /head -d x)
ok "the deadline shrinks on its way" has "$a" '^X-Cassia-Deadline-Ms: (2[0-9]{3}|3000)'
ok "the mark of a hop does not reach the server" hasnt "$a" '^X-Cassia-Hop'
ok "uploads pass" has "$(call photos /upload -T "$dir/photo")" '^bytes=20000000 '
ok "a cut answer ends early" [ "$(curl -sS -m 9 -o /dev/null -w '%{exitcode}' -H 'X-Cassia-Class: lookups' "$url/truncate/2000000" 2>/dev/null)" = 18 ]
a=$(call bookings /die -d x -H 'X-Request-Id: hop2')
ok "lost behind the hop: unknown" has "$a" '"ran":"unknown"'
ok "lost behind the hop: one run" [ "$(runs hop2)" = 1 ]
a=$(curl -sS -m 5 -i -H 'X-Cassia-Class: lookups' -H 'X-Cassia-Hop: 1' "$url/ok")
ok "a hop is not sent on" has "$a" '"ran":"no"'
a=$(call bookings /refuse -d x)
ok "refused behind the hop: not run" has "$a" '"ran":"no"'
kill -9 "$pid_proxy2"
wait_for 5 sh -c "! curl -sS -m 1 http://$other:8080/_cassia/healthz"
a=$(call bookings /ok -d x)
ok "the other proxy is gone: not run" has "$a" '"ran":"no"'
# The view changes: the servers are in the own zone now.
write_view 200 z1 2
sleep 0.6
a=$(call bookings /ok -d x)
ok "a new view is in force" has "$a" '^X-Cassia-Instance: p1'
ok "the new revision is in force" [ "$(metric cassia_proxy_config_revision)" = 2 ]
finish
