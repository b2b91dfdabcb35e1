#!/bin/bash
# Measures the time to the first byte through one router against that of direct
# calls to the stand-in, at 1, 50 and 500 requests in flight, and the router's CPU
# time per request and memory.  BASE sets the first port.
set -u
cd "$(dirname "$0")/.."
ROUTERS=1
BIN=build
BASE=${BASE:-29000}
. scripts/fleet.sh
fleet_init
trap stop_all EXIT
start_platform
start_engines 1 --slots 2000 --token-us 20000 --prefill-us 0
start_services 1 --slots 2000 --work-ms 100
DEADLINE_MS=30000 LONG_SHARE=100 fleet_up pattern desk 2000 2000 1 || exit 1
sleep 1
cpu_ticks() { awk '{print $14+$15}' "/proc/${ROUTER_PID[0]}/stat"; }
rss_kb() { awk '/VmRSS/{print $2}' "/proc/${ROUTER_PID[0]}/status"; }
echo "in_flight direct_p50_ms direct_p95_ms router_p50_ms router_p95_ms cpu_us_a_request router_rss_kb"
for in_flight in 1 50 500; do
	# A stream of 10 tokens of 20 ms lasts about 0.22 s, so this rate keeps about
	# $in_flight streams in flight.
	rate=$(awk "BEGIN{print $in_flight/0.22}")
	for kind in stream; do
		printf '{"streams":[{"name":"s","workspace":"w0","token":"t-w0","kind":"%s","model":"pattern","rate":%s,"tokens":10,"max_tokens":64}]}' $kind "$rate" >"$RUN/p.json"
	done
	build/amaranthwall-load --profile "$RUN/p.json" --routers "$(engine_of 0)" --seconds 4 --seed 1 >"$RUN/direct.json" 2>/dev/null
	before=$(cpu_ticks)
	build/amaranthwall-load --profile "$RUN/p.json" --routers "$(caller_of 0)" --seconds 4 --seed 1 >"$RUN/router.json" 2>/dev/null &
	load=$!
	sleep 2.5
	memory=$(rss_kb)
	wait $load
	after=$(cpu_ticks)
	field() { sed -n "s/.*\"all\": .*\"$2\": \([0-9.]*\).*/\1/p" "$RUN/$1.json"; }
	total=$(field router total)
	# A tick is 10000 us.
	echo "$in_flight $(field direct p50_first_ms) $(field direct p95_first_ms) $(field router p50_first_ms) $(field router p95_first_ms) $(awk "BEGIN{print ($after-$before)*10000/$total}") $memory"
done
