#!/bin/bash
# A planned stop (SIGTERM) of two routers at the same time, with long streams in progress and
# requests queued, also during other failures. Both must exit with status 0 and no unfinished
# request, and no response may be cut off (except by the case "kill", which kills a third router).
# cases: calm store-down cut kill freeze-other
set -u
cd "$(dirname "$0")/../.."
BIN=${BIN:-build-asan}
. scripts/fleet.sh
fleet_init
trap stop_all EXIT
case=${1:-calm}
fail() { echo "$case: $*"; cat "$RUN/load.json" 2>/dev/null; for l in "$RUN"/*.log; do tail -n 2 "$l"; done; exit 1; }

start_platform
start_engines 2 --slots 8 --token-us 5000
start_services 2 --slots 8 --work-ms 15
fleet_up pattern desk 8 8 4 1 1 || fail "the fleet did not become ready"

"$BIN/amaranthwall-load" --profile tests/process/long.json --routers "$(all_callers)" \
	--standins "$(engine_of 0),$(service_of 0)" --seconds 5 --seed 3 >"$RUN/load.json" 2>"$RUN/load.err" &
load=$!
sleep 2.5
busy() { [ "$(metric_of 2 requests_running)" -gt 0 ] && [ "$(metric_of 5 requests_running)" -gt 0 ]; }
wait_for 3 busy || fail "routers 2 and 5 have no requests in progress"
case $case in
store-down) platform_control '{"down":true}' ;;
cut) for r in 2 6; do curl -s -m 3 -X POST -H "Authorization: Bearer $TOKEN" "http://$(operator_of $r)/cut?peer=all" >/dev/null; done ;;
kill) kill_router 7 ;;
freeze-other) kill -STOP "${ROUTER_PID[7]}"; (sleep 4; kill -CONT "${ROUTER_PID[7]}") & ;;
esac
kill -TERM "${ROUTER_PID[2]}" "${ROUTER_PID[5]}"
if [ "$case" = store-down ]; then (sleep 3; platform_control '{"down":false}') & fi
for i in 2 5; do wait "${ROUTER_PID[$i]}" || fail "router $i exited with status $?"; done
wait $load || fail "amaranthwall-load reported violated guarantees"
if [ "$case" != kill ]; then
	grep -q '"200 (cut)"' "$RUN/load.json" && fail "a response in progress was cut off"
fi
for i in 2 5; do
	grep -q "event=stopped left=0" "$RUN/router-$i.log" || fail "router $i stopped with unfinished requests"
done
grep -E '"all"|"answers"|"join"' "$RUN/load.json"
echo "$case: passed"
