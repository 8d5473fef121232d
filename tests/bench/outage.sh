#!/usr/bin/env bash
# figures: retry_extra_pct leave_stop_s
# retry_extra_pct: two thirds of a zone's servers refuse requests with X-Ran: no, then another one refuses
# connections. Extra attempts, as counted by the servers, in percent of the requests.
# leave_stop_s: time from the moment a server announces that it is draining to its last request.
set -u
cd "$(dirname "$0")/../.."
source tests/bench/lib.bash
SERVER_BEHAVIOUR='{"service_ms":10,"jitter_pct":50}'
deploy_topology small
deploy_start
sleep 1
callers=$(deploy_callers 2 1)
before=$(($(servers_sum runs) + $(servers_sum refused)))
load_start outage < <(plan 8 "$callers" '{"class":"status","rate":300,"deadline_ms":2000}')
sleep 2
servers_control 'set?server=orders-01&refuse_pct=100' >/dev/null
servers_control 'set?server=orders-03&refuse_pct=100' >/dev/null
sleep 2
servers_control 'set?server=orders-05&down=1' >/dev/null
load_wait outage
attempts=$(($(servers_sum runs) + $(servers_sum refused) - before))
requests=$(load_field outage status requests)
refused=$(load_field outage status refused)
servers_control 'set?refuse_pct=0&down=0' >/dev/null
sleep 9

load_start leave < <(plan 8 "$callers" '{"class":"status","rate":300,"deadline_ms":2000}')
sleep 3
at=$(clock_us)
servers_control 'set?server=orders-03&state=2' >/dev/null
load_wait leave
sleep 0.3
log_summaries
last=$(grep '"server":"orders-03"' "$RUNDIR/runs.jsonl" | jq -s 'map(select(.id != null) | .start_us) | max')
echo "retry_extra_pct $(calc "100 * ($attempts - $requests + $refused) / $requests") %"
echo "leave_stop_s $(calc "($last > $at ? $last - $at : 0) / 1e6") s"
