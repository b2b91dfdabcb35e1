#!/bin/bash
# An endpoint that the platform lists as leaving must get no new requests after 5 s, the lag of
# the list included. This includes requests from routers that can't reach the platform: they
# learn of it from the other routers.
# cases: listed cut-from-platform
set -u
cd "$(dirname "$0")/../.."
BIN=${BIN:-build-asan}
. scripts/fleet.sh
fleet_init
trap stop_all EXIT
case=${1:-listed}
lag_ms=1000
limit_s=5 # 1 s of lag, the poll interval of 8 routers (2 s), and the messages between routers
fail() { echo "$case: $*"; cat "$RUN/load.err" 2>/dev/null; exit 1; }

start_platform
start_engines 3 --slots 8 --token-us 2000
start_services 2 --slots 8
write_settings
for i in 0 1 2; do list_instance "pattern-$i" "$(engine_of $i)" live; done
if [ "$case" = cut-from-platform ]; then
	for r in 5 6 7; do sed -i "s/\"platform_address\": \"[^\"]*\"/\"platform_address\": \"127.0.0.1:9\"/" "$(settings_of $r)"; done
fi
fleet_up pattern desk 8 8 4 1 1 || fail "the fleet did not become ready"
platform_control "{\"lag_ms\":$lag_ms}"

served() { get "$(engine_of "$1")/load" | sed -n 's/.*"served":\([0-9]*\).*/\1/p'; }
"$BIN/amaranthwall-load" --profile tests/process/mixed.json --routers "$(all_callers)" \
	--standins "$(engine_of 0),$(service_of 0)" --seconds 12 --seed 4 >"$RUN/load.json" 2>"$RUN/load.err" &
load=$!
sleep 2
before=$(served 1)
[ "$before" -gt 0 ] || fail "the endpoint got no requests before it was listed as leaving"
list_instance pattern-1 "$(engine_of 1)" leaving
sleep $limit_s
at_limit=$(served 1)
sleep 3
after=$(served 1)
wait $load || fail "amaranthwall-load reported violated guarantees"
echo "requests served by the endpoint: $before before, $at_limit after $limit_s s, $after another 3 s later"
[ "$after" = "$at_limit" ] || fail "the leaving endpoint got new requests"
echo "$case: passed"
