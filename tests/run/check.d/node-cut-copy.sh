#!/usr/bin/env bash
# Guards against a head that is made of the copy of a refusal, cut short, and of the response to the request: it
# has the request's id, but the request ran.
. "$(dirname "$0")/../node-lib.sh"
start_all
start_faulty_only
# The 421 comes last: it ends the use of the server.
for path in safe/cut-copy/{0,2,3} unsafe/cut-copy/{0,2,3,1}; do
	# A refusal keeps requests from the server for a while.
	wait_for 8 only_faulty || echo "requests do not reach the faulty server"
	a=$(status "/$path" -d x)
	ran=$(grep -c " POST /$path\$" "$dir/faulty.txt")
	ok "$path reaches the server (ran: $ran)" [ "$ran" -ge 1 ]
	ok "$path is not said to be refused: $a" lacks "$a" '^(503|421|429|408) '
done
finish
