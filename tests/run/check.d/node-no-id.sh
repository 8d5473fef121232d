#!/usr/bin/env bash
# Guards against a request without an id that is given the late copy of the response to another request.
. "$(dirname "$0")/../node-lib.sh"
start_all
start_faulty_only
post() { curl -sS --max-time 8 "http://127.$run.1.1:8144/unsafe/$1" -H 'Host: h.example' -H 'Cassiascale-Deadline-Milliseconds: 3000' -d x "${@:2}"; }
copies=0
for i in $(seq 6); do
	# Both requests go over one new connection: an unsafe one takes no connection that was idle for 100 ms.
	sleep 0.25
	post late-named/60 -H "Cassiascale-Attempt-Id: other-$i" >/dev/null
	has "$(post slow/150)" '^stray' >/dev/null && copies=$((copies + 1))
done
ok "no request without an id gets the copy of another one's response (got it: $copies)" [ $copies = 0 ]
finish
