#!/bin/bash
# Guarantees to callers during failures: an order runs at most once, a request reported as "not
# run" did not run, and each response is complete and its own. The load tool checks every
# response while the script injects the failures of the case (joined by "+") after 1.5 s. After the
# last request has ended it compares the outcomes reported to the callers with the execution logs
# of the stand-ins.
#
# promises.sh [CASE [SEED [SECONDS]]]; PROFILE is the load profile, mixed.json by default.
# cases: overload+engine-cuts calm kill freeze cut store-down store-slow store-loses engine-cuts engine-crosses endpoint-loses endpoint-slow restart flood kill+store-loses cut+freeze store-down+stop cut+store-down refuse silent
set -u
cd "$(dirname "$0")/../.."
BIN=${BIN:-build-asan}
. scripts/fleet.sh
fleet_init
trap stop_all EXIT
case=${1:-calm}
seed=${2:-1}
seconds=${3:-6}
profile=${PROFILE:-tests/process/mixed.json}
fail() { echo "$case: $*"; for l in "$RUN"/*.log; do tail -n 2 "$l"; done; exit 1; }

start_platform
[[ $case == *silent* ]] && PROXIED=1 && start_proxies
start_engines 4 --slots 8 --token-us 4000 --seed "$seed"
start_services 3 --slots 8 --work-ms 15 --seed "$seed"
fleet_up pattern desk 8 8 4 1 1 || fail "the fleet did not become ready"

# Drops the messages between router $1 and the others; with $2 "&join=1" stops that.
cut_off() { curl -s -m 3 -X POST -H "Authorization: Bearer $TOKEN" "http://$(operator_of "$1")/cut?peer=all$2" >/dev/null; }

inject_fault() {
	case $1 in
	calm) ;;
	silent) silence ;;
	freeze) kill -STOP "${ROUTER_PID[3]}"; sleep 3.5; kill -CONT "${ROUTER_PID[3]}" ;;
	cut) cut_off 1 ""; cut_off 4 ""; sleep 3.5; cut_off 1 "&join=1"; cut_off 4 "&join=1" ;;
	store-down) platform_control '{"down":true}'; sleep 2.5; platform_control '{"down":false}' ;;
	store-slow) platform_control '{"slow_ms":1300}'; sleep 2; platform_control '{"slow_ms":0}' ;;
	store-loses) platform_control "{\"lose_per_mille\":300,\"seed\":$seed}" ;;
	engine-cuts) all_engines '{"cut_per_mille":300}' ;;
	engine-crosses) all_engines '{"cross_per_mille":150}'; all_services '{"cross_per_mille":100}' ;;
	endpoint-loses) all_services '{"lose_per_mille":150,"drop_per_mille":50}'; all_engines '{"drop_per_mille":100}' ;;
	endpoint-slow) post "$(engine_of 0)/control" '{"slow_percent":1000}'; post "$(service_of 0)/control" '{"slow_percent":3000}' ;;
	refuse) post "$(engine_of 1)/control" '{"refuse":true}'; sleep 2; post "$(engine_of 1)/control" '{"refuse":false}' ;;
	flood) ;;
	overload) all_engines '{"slow_percent":1500}' ;;
	esac
}

scale=1
[ "$case" = flood ] && scale=4
"$BIN/amaranthwall-load" --profile "$profile" --routers "$(all_callers)" --standins "$(engine_of 0),$(service_of 0)" \
	--seconds "$seconds" --seed "$seed" --scale $scale >"$RUN/load.json" 2>"$RUN/load.err" &
load=$!
# Faults that stop or start a router run in this shell: only the parent can wait for a process.
for part in ${case//+/ }; do
	case $part in
	kill | stop | restart) ;;
	*) (sleep 1.5; inject_fault "$part") & ;;
	esac
done
sleep 1.5
for part in ${case//+/ }; do
	case $part in
	kill) kill_router 2; kill_router 5 ;;
	restart) kill_router 6; sleep 0.3; start_router 6 ;;
	stop) kill -TERM "${ROUTER_PID[2]}" "${ROUTER_PID[5]}" ;;
	esac
done
code=0
wait $load || code=$?
cat "$RUN/load.json"
head -5 "$RUN/load.err"
if [[ $case == *stop* ]]; then
	for i in 2 5; do wait "${ROUTER_PID[$i]}" || fail "router $i exited with status $?"; done
fi
[ $code = 0 ] || fail "amaranthwall-load reported violated guarantees"
links_were_renewed() { grep -q event=peer-link-renewed "$RUN"/router-*.log; }
if [[ $case == *silent* ]]; then
	wait_for 10 links_were_renewed || fail "no router renewed a link"
fi
if [ "$case" = silent ]; then
	wait_for 15 all_see "$ROUTERS" || fail "not all routers see each other again"
fi
grep -l "ERROR: AddressSanitizer\|runtime error" "$RUN"/*.log && fail "a sanitizer reported an error"
echo "$case: passed"
