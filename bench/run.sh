#!/bin/bash
# run.sh DEPLOYMENT POLICY SEED OUTPUT.json: runs one deployment under one policy and
# writes the load's summary and the routers' traffic counters to OUTPUT.json.  Uses
# the ports from BASE on; BIN, RUN and ROUTERS as in scripts/fleet.sh.
set -u
cd "$(dirname "$0")/.."
deployment=$1
POLICY=$2
seed=$3
output=$4
. scripts/fleet.sh
fleet_init
trap stop_all EXIT

case $deployment in
ligas) model=pattern plain=desk engines=10 slots=8 services=4 weights="8 4 4 2 2 1 1 1 1 1 1 1 1 1 1 1" ;;
mesob) model=advisor plain=shop engines=20 slots=4 services=3 weights="6 6 3 2 1 1 1 1 1 1 1 1 1 1 1 1" ;;
esac
start_platform
start_engines $engines --slots $slots --token-us 10000 --prefill-us 100 --cache 8 --lag-ms 500 --seed "$seed"
start_services $services --slots 8 --work-ms 15 --seed "$seed"
DEADLINE_MS=4000 LONG_COST=150 fleet_up $model $plain $slots 8 $weights || exit 1
bash bench/profile.sh "$deployment" >"$RUN/profile.json"

sum_metric() { local i s=0 v; for i in $(seq 0 $((ROUTERS - 1))); do v=$(metric_of "$i" "$1"); s=$((s + ${v:-0})); done; echo $s; }
cpu_ticks() { local i s=0; for i in $(seq 0 $((ROUTERS - 1))); do s=$((s + $(awk '{print $14+$15}' "/proc/${ROUTER_PID[$i]}/stat"))); done; echo $s; }
# Prints the counters that "fields" names below, in that order.
traffic_counters() { echo "$(sum_metric peer_messages_sent_total) $(sum_metric peer_bytes_sent_total) $(sum_metric peer_wire_bytes_total) $(sum_metric caller_requests_total) $(cpu_ticks)"; }

# set_slowdown PERCENT: response time of every fifth replica, 100 for the usual one.
set_slowdown() {
	local i
	for i in $(seq 0 $((engines / 5 - 1))); do post "$(engine_of $((i * 5)))/control" "{\"slow_percent\":$1}"; done
}

"$BIN/amaranthwall-load" --profile "$RUN/profile.json" --routers "$(all_callers)" \
	--standins "$(engine_of 0),$(service_of 0)" --model $model --seconds 18 --seed "$seed" \
	--span calm:1000:3000 --span crest:3000:5000 --span slowed:6000:8500 --span stragglers:9000:11500 --span full:12500:18000 \
	>"$RUN/load.json" 2>"$RUN/load.err" &
load=$!
started=$(date +%s%3N)
# wait_until MS: returns at that time since the start of the load.
wait_until() { local left=$((started + $1 - $(date +%s%3N))); [ $left -le 0 ] || sleep "$(awk "BEGIN{print $left/1000}")"; }
wait_until 1000
calm_from=$(traffic_counters)
wait_until 3000
calm_to=$(traffic_counters)
wait_until 6000
set_slowdown 1000
wait_until 8500
set_slowdown 100
wait_until 12500
full_from=$(traffic_counters)
wait_until 18000
full_to=$(traffic_counters)
code=0
wait $load || code=$?
[ $code = 0 ] || { echo "$deployment $POLICY $seed: amaranthwall-load exited with $code" >&2; head -5 "$RUN/load.err" >&2; }
{
	echo "{\"deployment\":\"$deployment\",\"policy\":\"$POLICY\",\"seed\":$seed,\"routers\":$ROUTERS,"
	echo "\"traffic\":{\"fields\":[\"messages\",\"payload\",\"wire\",\"requests\",\"cpu_ticks\"],\"calm_s\":2.0,\"full_s\":5.5,"
	echo "\"calm_from\":[${calm_from// /,}],\"calm_to\":[${calm_to// /,}],\"full_from\":[${full_from// /,}],\"full_to\":[${full_to// /,}]},"
	echo "\"load\":"
	cat "$RUN/load.json"
	echo "}"
} >"$output"
