#!/bin/bash
# The main job end to end: two services, eight routers, real requests, a killed
# router, an order tried again elsewhere, the burn report, a planned stop.
set -u
cd "$(dirname "$0")/.."
. scripts/fleet.sh
fleet_init
trap stop_all EXIT
fail() { echo "demo: $*" >&2; tail -5 "$RUN"/router-*.log >&2; exit 1; }

echo "== start: platform, 4 engines, 2 order desks, $ROUTERS routers"
start_platform
start_engines 4 --slots 8 --token-us 4000
start_services 2 --slots 8 --work-ms 20
write_settings
start_routers
write_text "$RUN/text.json" pattern desk 8 8 4 1 1
put_text "$RUN/text.json" 0 --wait || fail "the text was not accepted"
wait_ready || fail "not ready"
wait_for 10 all_see "$ROUTERS" || fail "the routers do not see each other"

ask() { curl -s -m 20 -i -H "Authorization: Bearer $1" -H "Content-Type: application/json" "${@:3}" "http://$2"; }
chat() { printf '{"model":"pattern","stream":%s,"max_tokens":%s,"messages":[{"role":"user","content":"%s"}]}' "$1" "$2" "$3"; }

echo "== a streamed pattern draft through router 0"
ask t-w0 "$(caller_of 0)/v1/chat/completions" -d "$(chat true 64 'draft an elastic pattern tokens=5')" | tee "$RUN/draft" | head -20
grep -q 'outcome=done' "$RUN/draft" || fail "the draft is not whole"
echo "== a quick answer through router 3"
ask t-w1 "$(caller_of 3)/v1/chat/completions" -d "$(chat false 32 'which buckle fits tokens=4')" | tee "$RUN/quick"
echo
grep -q 'Outcome: done' "$RUN/quick" || fail "no quick answer"
echo "== an order through router 1, and the same order again through router 5"
ask t-w2 "$(caller_of 1)/orders" -H "Idempotency-Key: lot-17" -d '{"fabric":"lot 17"}' | tee "$RUN/order1"
ask t-w2 "$(caller_of 5)/orders" -H "Idempotency-Key: lot-17" -d '{"fabric":"lot 17"}' | tee "$RUN/order2"
[ "$(tail -1 "$RUN/order1")" = "$(tail -1 "$RUN/order2")" ] || fail "the answers differ"
[ "$(get "$(service_of 0)/log" | grep -c lot-17)" = 1 ] || fail "the order ran not once"
echo "the order desk ran it $(get "$(service_of 0)/log" | grep -c lot-17) time"
echo "== router 2 is killed; the others go on"
kill_router 2
for i in 0 1 3 4 5 6 7; do
	ask t-w1 "$(caller_of $i)/v1/chat/completions" -d "$(chat false 16 "after the kill $i tokens=3")" | grep -q 'Outcome: done' || fail "router $i does not serve"
done
echo "seven routers serve"
echo "== service-level burn"
"$BIN/amaranthwall" report burn --settings "$(settings_of 0)" | grep -E 'service|5m|answer'
echo "== planned stop of all"
for i in 0 1 3 4 5 6 7; do kill -TERM "${ROUTER_PID[$i]}"; done
for i in 0 1 3 4 5 6 7; do wait "${ROUTER_PID[$i]}" || fail "router $i stopped with $?"; done
echo "demo: good"
