#!/bin/bash
# More than 1000 concurrent requests to engines that delay responses, send wrong request ids and
# cut streams, which the router then resumes. Every response body must be the one that its own
# request determines, or be marked as incomplete. Guards against mixed-up responses.
# The number of running requests is read some ten times a second; when it peaks depends on the
# machine.
set -u
cd "$(dirname "$0")/../.."
BIN=build
. scripts/fleet.sh
fleet_init
trap stop_all EXIT
fail() { echo "crowd: $*"; cat "$RUN/load.json"; head -3 "$RUN/load.err"; exit 1; }
start_platform
start_engines 4 --slots 500 --token-us 100000 --prefill-us 0
start_services 1
fleet_up pattern desk 500 8 4 1 1 || fail "the fleet did not become ready"
all_engines '{"cut_per_mille":200,"cross_per_mille":30,"late_ms":300}'
"$BIN/amaranthwall-load" --profile tests/process/crowd.json --routers "$(all_callers)" \
	--standins "$(engine_of 0),$(service_of 0)" --seconds 5 --seed 2 >"$RUN/load.json" 2>"$RUN/load.err" &
load=$!
running() {
	local sum=0 i
	for i in 0 1 2 3; do sum=$((sum + $(get "$(engine_of $i)/load" | sed -n 's/.*"now":\([0-9]*\).*/\1/p'))); done
	echo $sum
}
peak=0
crowded=0 # samples with more than 1000
while kill -0 $load 2>/dev/null; do
	now=$(running)
	[ "$now" -le "$peak" ] || peak=$now
	[ "$now" -le 1000 ] || crowded=$((crowded + 1))
	sleep 0.1
done
wait $load || fail "amaranthwall-load reported violated guarantees"
grep -E '"all"|"answers"|"join"' "$RUN/load.json"
echo "concurrent requests: at most $peak, more than 1000 in $crowded samples"
[ "$crowded" -ge 3 ] || fail "more than 1000 at a time in $crowded samples, expected 3; at most $peak"
[ "$(sed -n 's/.*"all": {"total": [0-9]*, "done": \([0-9]*\),.*/\1/p' "$RUN/load.json")" -gt 2000 ] || fail "not more than 2000 requests were done"
echo "crowd: passed"
