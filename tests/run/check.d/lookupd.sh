#!/usr/bin/env bash
# Guards against a lookup daemon that answers before it has a configuration, that depends on its agent
# once it has one, or that cuts callers off at a planned stop.
set -u
cd "$(dirname "$0")/../../.."
. tests/run/deploy.sh
export LINKS=0
deploy_topology small
LOOKUP_TTL_MS=1000
deploy_start
url=http://${INST_ADDR[north-a-1]}:$LOOKUP_PORT

# status PATH: HTTP status; the body goes to RUNDIR/body.
status() { curl -s -m 2 -o "$RUNDIR/body" -w '%{http_code}' "$url$1"; }

# want STATUS TEXT PATH
want() {
	local got
	got=$(status "$3")
	[ "$got" = "$1" ] && grep -q "$2" "$RUNDIR/body" || die "GET $3: status $got, expected $1 with '$2': $(cat "$RUNDIR/body")"
}

caller="addr=127.$RUN.1.200"
for ((i = 0; i < 50; i++)); do
	status "/v1/lookup?class=status&$caller" >/dev/null
	[ "$(jq -r '.entries[].zone' "$RUNDIR/body" 2>/dev/null | xargs)" = "north-a south-a north-a" ] && break
	sleep 0.1
done
want 200 '"entries":\[{"instance":"north-a-[12]","zone":"north-a","url":"http://127' "/v1/lookup?class=status&$caller"
[ "$(jq '[.entries[].zone] | unique | length' "$RUNDIR/body")" = 2 ] ||
	die "the entries are not in two zones: $(cat "$RUNDIR/body")"
want 404 "did you mean status?" "/v1/lookup?class=statu&$caller"
want 400 "class is required" "/v1/lookup?$caller"
want 400 "addr is not" "/v1/lookup?class=status&addr=1.2.3"
want 200 '"reason":"nearest zone"' "/v1/locate?class=status&$caller"
want 200 '"revision":1' /v1/config
want 200 '^cassia_lookups_total{class="status"} [1-9]' /metrics

# A daemon without an agent has no configuration.
deploy_spawn x "$DEPLOY_BIN/cassia-lookupd" --instance x --zone north-a --address "127.$RUN.9.1" --port $LOOKUP_PORT \
	--agent "tcp://127.$RUN.9.1:$LOCAL_PORT"
wait_http "http://127.$RUN.9.1:$LOOKUP_PORT/healthz" || die "the second daemon does not answer"
for path in /readyz "/v1/lookup?class=status&$caller"; do
	got=$(curl -s -o /dev/null -w '%{http_code}' "http://127.$RUN.9.1:$LOOKUP_PORT$path")
	[ "$got" = 503 ] || die "without an agent GET $path: status $got, expected 503"
done

# The agent's death changes no answer.
deploy_kill north-a-1/agentd
sleep 0.5
want 200 '"zone":"north-a"' "/v1/lookup?class=status&$caller"
want 200 . /readyz

# Planned stop: not ready at once, answers for the time to live, then ends with 0.
deploy_signal TERM north-a-1/lookupd
sleep 0.2
want 503 stopping /readyz
want 200 '"zone":"north-a"' "/v1/lookup?class=status&$caller"
curl -s -D - -o /dev/null "$url/v1/lookup?class=status&$caller" | grep -qi '^connection: close' ||
	die "answers of a stopping daemon keep the connection"
end=$((SECONDS + 5))
while kill -0 "${PID[north-a-1/lookupd]}" 2>/dev/null && [ $SECONDS -lt $end ]; do sleep 0.1; done
kill -0 "${PID[north-a-1/lookupd]}" 2>/dev/null && die "the daemon has not ended within 5 s"
wait "${PID[north-a-1/lookupd]}"
rc=$?
unset "PID[north-a-1/lookupd]"
[ $rc -eq 0 ] || die "the daemon ended with $rc, expected 0"

# Wrong settings are named and end the daemon before it listens.
"$DEPLOY_BIN/cassia-lookupd" --instance x --zone a --port 70000 >"$RUNDIR/bad" 2>&1 && die "port 70000 is accepted"
grep -q "\-\-port.*70000.*65535" "$RUNDIR/bad" || die "the error names no setting, value and range: $(cat "$RUNDIR/bad")"
echo "ok"
