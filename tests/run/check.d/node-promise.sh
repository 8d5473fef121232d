#!/usr/bin/env bash
# Guards against a client that is told "not run" by 503, 429, 421 or 408 although a server ran its request: because of a
# refusal that contradicts itself or lacks the header, or because the request was sent again after a send that broke.
# REPEATS sets how often each broken send is tried.
. "$(dirname "$0")/../node-lib.sh"
start_all
start_faulty_only
# A second entry of the same address, so that there is a server left for a request whose send broke.
entry=$(curl -sSf "http://$store:8142/v1/kv-range?prefix=servers/i-9" | jq -r ".items[0].value" | base64 -d)
curl -sSf "$control/put?key=servers/i-8" -d "$entry" >/dev/null
repeats=${REPEATS:-2}
head -c 2000000 /dev/zero | tr '\0' b >"$dir/large"
n=0

usable() { [ "$(status /safe/ok)" = "200 0" ]; }

# once KIND CONNECTION PATH [CURL-ARGUMENTS...]: sends a request under /once/, with the command $client or curl, on a
# new connection to the server or on one that was used just before. Sets answer, runs, again, and before: the number of
# earlier requests on the connection.
once() {
	local kind=$1 connection=$2 path=$3 id
	shift 3
	n=$((n + 1))
	id=p-$run-$n
	local args=(-sS -o "$dir/body" -w '%{http_code}' --max-time 8 -H 'Host: h.example' -H "Cassiascale-Attempt-Id: $id"
		-H "Cassiascale-Deadline-Milliseconds: ${deadline:-3000}" "$@" "http://127.$run.1.1:8144/$kind/once/$path")
	if [ "$connection" = kept ]; then
		args=(-sS -o /dev/null -H 'Host: h.example' -H "Cassiascale-Attempt-Id: $id-first"
			-H 'Cassiascale-Deadline-Milliseconds: 3000' "http://127.$run.1.1:8144/$kind/ok" --next "${args[@]}")
	else
		# Unsafe requests use a connection that was idle for 100 ms at most.
		sleep 0.13
	fi
	answer=$(${client:-curl} "${args[@]}" 2>/dev/null)
	runs=$(grep -c "^run $id " "$dir/faulty.txt")
	again=$(grep -c "^again $id\$" "$dir/faulty.txt")
	before=$(awk -v id="$id" '$1 == "once" && $2 == id { print $3 }' "$dir/faulty.txt")
}

health_checks() {
	curl -sS "http://127.$run.1.1:9464/metrics" | awk '$1 == "cassia_node_probes_total" { print $2 }'
}

checked_since() { [ "$(health_checks)" -gt "$1" ]; }

is_promise() { [[ $1 =~ ^(503|429|421|408)$ ]]; }

# The first send of a request that may be repeated is slow and then lost, or lasts until the deadline; the second one,
# beside it, is refused.
for ms in 700 2500; do
	# A server that refused is left alone for a while.
	sleep 1
	once safe kept "slow-die/$ms"
	ok "a hedge that is refused makes no promise: $ms ms ($answer, runs: $runs, refused: $again)" \
		has "$answer $runs $again" '^50[24] 1 [1-9]'
done

# Responses to requests that ran, with the marks that standin-faulty describes.
for marks in 421 421-s 421-he 421-hs 503 503-hs 503-ho 503-hos 429 429-hs 408 408-h 400-h 200-h 200-hs 204-h 500-h \
	500-hs; do
	for args in "" "-d x"; do
		# shellcheck disable=SC2086
		once unsafe new "answer/$marks" $args
		ok "an unsafe request that ran is not promised not to have: $marks $args ($answer, runs: $runs, refused: $again)" \
			has "$answer $runs $again" '^50[24] 1 0$'
		wait_for 5 usable || ok "the server is used again after $marks" false
	done
	once safe new "answer/$marks"
	is_promise "$answer" && ok "a safe request that ran is not promised not to have: $marks ($answer)" false
	wait_for 5 usable || ok "the server is used again after $marks" false
done
# Whether the header is there or not, an address that answers 421 needs a health check.
for marks in 421 421-hn; do
	checks_before=$(health_checks)
	once unsafe new "answer/$marks"
	ok "an address is checked after $marks" wait_for 5 checked_since "$checks_before"
done
for marks in 503-hn 429-hn 421-hn; do
	once unsafe new "answer/$marks"
	ok "a refusal is passed on as one: $marks ($answer, runs: $runs)" [ "$answer $runs" = "503 0" ]
	wait_for 5 usable || ok "the server is used again after $marks" false
done

body_args() {
	case $1 in
	none) ;;
	buffered) echo "-d small" ;;
	streamed) echo "--data-binary @$dir/large -H Expect:" ;;
	chunked) echo "--data-binary @$dir/large -H Expect: -H Transfer-Encoding:chunked" ;;
	esac
}

# broken_sends KIND CONNECTION PATH BODY: sends requests that break after they ran, and counts.
broken_sends() {
	local answers=""
	promises=0 twice=0 ran=0 kept=0
	for _ in $(seq "$repeats"); do
		# shellcheck disable=SC2046
		once "$1" "$2" "$3" $(body_args "$4")
		is_promise "$answer" && promises=$((promises + 1))
		[ $((runs + again)) -gt 1 ] && twice=$((twice + 1))
		ran=$((ran + runs))
		[ "${before:-0}" -gt 0 ] && kept=$((kept + 1))
		answers="$answers $answer"
	done
	counts="ran: $ran, twice: $twice, promises: $promises, kept: $kept,$answers"
}

# Sends that break after the request ran. The server refuses any later send of the request.
for fault in die reset reset-half cut-status interim/100 interim/103 refusal-behind answer/417 answer/417-c \
	answer/408-c answer/503-c; do
	for connection in new kept; do
		for body in none buffered streamed chunked; do
			[ "$fault $body" = "reset-half none" ] && continue
			broken_sends unsafe "$connection" "$fault" "$body"
			ok "$fault, $body body, $connection connection: sent once, no promise ($counts)" \
				[ "$ran $twice $promises" = "$repeats 0 0" ]
			[ "$connection" = new ] || ok "the connection was a kept one" [ "$kept" = "$repeats" ]
		done
	done
	broken_sends safe kept "$fault" buffered
	ok "$fault, may be repeated: no promise ($counts)" [ "$ran $promises" = "$repeats 0" ]
done

# Clients that stall or disconnect while their bodies are sent on, and a refusal before the end of the body.
slow_body() {
	head -c 1500000 "$dir/large"
	sleep "$1"
	echo end
}
once unsafe new answer/200-s -T - -X POST -H Expect: < <(slow_body 3)
ok "a stalled body that was sent in part gives no promise ($answer, refused: $again)" has "$answer $again" '^50[24] 0$'
once unsafe new answer/503-hn -T - -X POST -H Expect: < <(slow_body 0.3)
ok "a refusal before the end of a body is passed on as one ($answer, runs: $runs)" [ "$answer $runs" = "503 0" ]
client="timeout -s KILL 0.5 curl" once unsafe new answer/200-s -T - -X POST -H Expect: < <(slow_body 3)
ok "a body that is cut is not sent again (runs: $runs, refused: $again)" [ "$runs $again" = "0 0" ]
# An instance that stops while its requests are lost, one of them at work until the end of the process.
document 6 9000
sleep 1
lost=""
for request in unsafe/slow-die/1500 safe/slow-die/1500 unsafe/slow-die/8500 safe/slow-die/8500; do
	n=$((n + 1))
	(
		deadline=8000 once "${request%%/*}" kept "${request#*/}"
		echo "$answer $runs" >"$dir/stop-${request//\//-}"
	) &
	lost="$lost $!"
done
sleep 0.5
kill -TERM "$pid_node1"
# shellcheck disable=SC2086
wait $lost
for request in "$dir"/stop-*; do
	a=$(cat "$request")
	ok "a stopping instance makes no promise for ${request##*/stop-} ($a)" has "$a" '^50[24] 1$'
done
finish
