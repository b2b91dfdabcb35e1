#!/bin/bash
# One workspace sends three times the capacity for four seconds; its callers retry
# after the Retry-After delay.  Prints the results of this workspace's requests,
# rejected ones included, and those of a small workspace beside it.
# SEED sets the load's seed (1), BASE the first port.
set -u
cd "$(dirname "$0")/.."
BIN=build
BASE=${BASE:-24000}
. scripts/fleet.sh
fleet_init
trap stop_all EXIT
start_platform
start_engines 10 --slots 8 --token-us 10000
start_services 1
DEADLINE_MS=4000 LONG_COST=150 fleet_up pattern desk 8 8 1 1 || exit 1
cat >"$RUN/p.json" <<'P'
{"streams":[
	{"name":"flood","workspace":"w0","token":"t-w0","kind":"stream","model":"pattern","rate":350,"tokens":60,"sigma":0.3,"max_tokens":150,"retries":3,"deadline_ms":4000,
	 "swing":[{"from_ms":4000,"to_ms":100000,"factor":0}]},
	{"name":"small","workspace":"w1","token":"t-w1","kind":"stream","model":"pattern","rate":20,"tokens":6,"sigma":0.3,"max_tokens":32,"deadline_ms":4000}
]}
P
build/amaranthwall-load --profile "$RUN/p.json" --routers "$(all_callers)" --standins "$(engine_of 0),$(service_of 0)" \
	--seconds 8 --seed "${SEED:-1}" --obey --span flood:500:4000 >"$RUN/load.json" 2>"$RUN/load.err"
grep -m1 '"flood":' "$RUN/load.json"
sed -n '/span_flood/,$p' "$RUN/load.json" | grep -m1 '"small":'
grep -E '"answers"|"join"' "$RUN/load.json"
