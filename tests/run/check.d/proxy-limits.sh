#!/usr/bin/env bash
# Deadlines, waiting, refusals, callers that leave and hedges: truthful answers and no lost slot.
. "$(dirname "$0")/../proxy-lib.sh"
write_view 2
start_servers
start_proxy
in_flight() { curl -sS -m 5 "$url/_cassia/v1/state" | grep -o '"service":"svc"[^}]*' | grep -o '"in_flight":[0-9]*' | head -1 | cut -d: -f2; }
idle() { [ "$(in_flight)" = 0 ]; }

a=$(call bookings /slow/1500 -d x -H 'X-Cassia-Deadline-Ms: 300')
ok "deadline after sending: 504" has "$a" '^HTTP/1.1 504'
ok "deadline after sending: unknown" has "$a" '"ran":"unknown"'
ok "the slot of a timed out attempt is free" wait_for 2 idle

curl -sS -m 0.3 -H 'X-Cassia-Class: lookups' "$url/slow/2500" >/dev/null 2>&1
ok "the caller leaves: its slot is free long before the answer" wait_for 1 idle
curl -sS -m 0.3 --limit-rate 1K -H 'X-Cassia-Class: photos' "$url/bytes/30000000" >/dev/null 2>&1
ok "the caller leaves during the answer: its slot is free" wait_for 1 idle
(head -c 100000 /dev/zero; sleep 1) | curl -sS -m 0.4 -H 'X-Cassia-Class: photos' -T - "$url/upload" >/dev/null 2>&1
ok "the caller leaves during the upload: its slot is free" wait_for 1 idle

# Two of the four slots are for small requests: the others wait, then are refused.
waiting=""
for i in $(seq 12); do
	call lookups /slow/400 -w ' %{time_total}\n' >"$dir/wait.$i" &
	waiting="$waiting $!"
done
# shellcheck disable=SC2086
wait $waiting
a=$(cat "$dir"/wait.*)
ok "within the slots: answered" [ "$(grep -c '^slow' <<<"$a")" -ge 2 ]
ok "over the slots: refused as not run" [ "$(grep -c '"ran":"no"' <<<"$a")" -ge 1 ]
ok "all have an answer" [ "$(grep -cE '^HTTP/1.1 (200|503)' <<<"$a")" = 12 ]
ok "refusals name Retry-After" [ "$(grep -c '^Retry-After' <<<"$a")" = "$(grep -c '^HTTP/1.1 503' <<<"$a")" ]
ok "refusals are counted by reason" [ "$(metric 'cassia_proxy_refused_total{class="lookups",reason="overload"}')" -ge 1 ]
ok "no slot is lost" wait_for 2 idle

# One server is slow: after enough quick answers a request to it is hedged.
for _ in $(seq 300); do echo "url = $url/ok"; done >"$dir/urls"
curl -sS -m 20 -H 'X-Cassia-Class: lookups' -K "$dir/urls" -o /dev/null >/dev/null
a=$(for _ in 1 2 3 4; do call lookups /slow-even/600; done)
ok "all requests beside a slow server are answered" [ "$(grep -cE '^(odd|even)' <<<"$a")" = 4 ]
ok "hedges stay within 2 in 100" [ "$(metric 'cassia_proxy_hedges_total{class="lookups"}')" -le 7 ]
ok "no slot is lost after hedges" wait_for 2 idle
finish
