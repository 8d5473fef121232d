#!/usr/bin/env bash
# Guards against a long id that is cut before it is compared with that of the response: the response to the request
# is then taken for that to another one, and is lost.
. "$(dirname "$0")/../node-lib.sh"
start_all
start_faulty_only
for n in 64 65 78; do
	id=$(printf 'a%.0s' $(seq "$n"))
	a=$(call 1 /unsafe/ok -d x)
	ok "a request whose id has $n bytes gets its response" has "$a" "^ok $id"
done
finish
