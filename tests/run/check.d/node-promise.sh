#!/usr/bin/env bash
# Guards against a client that is told "not run" by 503, 429, 421 or 408 although a server ran its request, because the
# request was sent again after a send that broke.
# REPEATS sets how often each broken send is tried.
. "$(dirname "$0")/../node-lib.sh"
start_all
start_faulty_only
repeats=${REPEATS:-2}
head -c 2000000 /dev/zero | tr '\0' b >"$dir/large"
n=0

# once KIND CONNECTION PATH [CURL-ARGUMENTS...]: sends a request under /once/ on a new connection to the server or on one
# that was used just before; sets answer, runs, again and before, the number of earlier requests on the connection.
once() {
	local kind=$1 connection=$2 path=$3 id
	shift 3
	n=$((n + 1))
	id=p-$run-$n
	local args=(-sS -o "$dir/body" -w '%{http_code}' --max-time 8 -H 'Host: h.example' -H "Cassiascale-Attempt-Id: $id"
		-H 'Cassiascale-Deadline-Milliseconds: 3000' "$@" "http://127.$run.1.1:8144/$kind/once/$path")
	if [ "$connection" = kept ]; then
		args=(-sS -o /dev/null -H 'Host: h.example' -H "Cassiascale-Attempt-Id: $id-first"
			-H 'Cassiascale-Deadline-Milliseconds: 3000' "http://127.$run.1.1:8144/$kind/ok" --next "${args[@]}")
	else
		# Unsafe requests use a connection that was idle for 100 ms at most.
		sleep 0.13
	fi
	answer=$(curl "${args[@]}" 2>/dev/null)
	runs=$(grep -c "^run $id " "$dir/faulty.txt")
	again=$(grep -c "^again $id\$" "$dir/faulty.txt")
	before=$(awk -v id="$id" '$1 == "once" && $2 == id { print $3 }' "$dir/faulty.txt")
}

is_promise() { [[ $1 =~ ^(503|429|421|408)$ ]]; }

body_args() {
	case $1 in
	none) ;;
	buffered) echo "-d small" ;;
	streamed) echo "--data-binary @$dir/large -H Expect:" ;;
	chunked) echo "--data-binary @$dir/large -H Expect: -H Transfer-Encoding:chunked" ;;
	esac
}

# Sends that break after the request ran. The server refuses any later send of the request.
for fault in die reset reset-half cut-status interim/100 interim/103 refusal-behind answer/417 answer/417-c answer/408-c answer/503-c; do
	for connection in new kept; do
		for body in none buffered streamed chunked; do
			[ "$fault $body" = "reset-half none" ] && continue
			promises=0 twice=0 ran=0 kept=0 answers=""
			for _ in $(seq "$repeats"); do
				# shellcheck disable=SC2046
				once unsafe "$connection" "$fault" $(body_args $body)
				is_promise "$answer" && promises=$((promises + 1))
				[ $((runs + again)) -gt 1 ] && twice=$((twice + 1))
				ran=$((ran + runs))
				[ "${before:-0}" -gt 0 ] && kept=$((kept + 1))
				answers="$answers $answer"
			done
			ok "$fault, $body body, $connection connection: sent once, no promise (ran: $ran, twice: $twice, promises: $promises, kept: $kept,$answers)" \
				[ "$ran $twice $promises" = "$repeats 0 0" ]
			[ "$connection" = new ] || ok "the connection was a kept one" [ "$kept" = "$repeats" ]
		done
	done
done
finish
