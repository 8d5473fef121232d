#!/usr/bin/env bash
# Guards against faults caused by mutated requests: a crash, partial or extra responses, an error page of
# the HTTP library, or bytes of one request that reach a server as another request (request smuggling).
. "$(dirname "$0")/../node-lib.sh"
start_all
mutant=$build/bin/standin-mutant
out=$("$mutant" --address "127.$run.1.1" --port 8144 --seed "${SEED:-1}" --count 3000 2>&1)
rc=$?
echo "$out" | tail -40
ok "every request gets one complete response" [ $rc = 0 ]
ok "at least 100 requests succeed" has "$out" '^answers [0-9]{3,}, of them 200 [0-9]{3,}'
id=after
ok "a valid request succeeds afterwards" has "$(call 1 '/safe/x')" '^HTTP/1.1 200'
finish
