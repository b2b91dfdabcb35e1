#!/bin/bash
# Shows the main functions end to end on two services and eight routers: requests, an
# order retried through another router, a killed router, the burn rate report and a
# planned stop.
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
write_config "$RUN/config.json" pattern desk 8 8 4 1 1
put_config "$RUN/config.json" 0 --wait || fail "the fleet configuration was not accepted"
wait_ready || fail "a router is not ready"
wait_for 10 all_see "$ROUTERS" || fail "the routers do not see each other"

send_request() { curl -s -m 20 -i -H "Authorization: Bearer $1" -H "Content-Type: application/json" "${@:3}" "http://$2"; }
chat_body() { printf '{"model":"pattern","stream":%s,"max_tokens":%s,"messages":[{"role":"user","content":"%s"}]}' "$1" "$2" "$3"; }

echo "== a streamed pattern draft through router 0"
send_request t-w0 "$(caller_of 0)/v1/chat/completions" -d "$(chat_body true 64 'draft an elastic pattern tokens=5')" | tee "$RUN/draft" | head -20
grep -q 'outcome=done' "$RUN/draft" || fail "the draft is incomplete"
echo "== a quick answer through router 3"
send_request t-w1 "$(caller_of 3)/v1/chat/completions" -d "$(chat_body false 32 'which buckle fits tokens=4')" | tee "$RUN/quick"
echo
grep -q 'Outcome: done' "$RUN/quick" || fail "the quick request was not answered"
echo "== an order through router 1, and its retry through router 5"
send_request t-w2 "$(caller_of 1)/orders" -H "Idempotency-Key: lot-17" -d '{"fabric":"lot 17"}' | tee "$RUN/order1"
send_request t-w2 "$(caller_of 5)/orders" -H "Idempotency-Key: lot-17" -d '{"fabric":"lot 17"}' | tee "$RUN/order2"
[ "$(tail -1 "$RUN/order1")" = "$(tail -1 "$RUN/order2")" ] || fail "the two answers to the order differ"
[ "$(get "$(service_of 0)/log" | grep -c lot-17)" = 1 ] || fail "the order did not run exactly once"
echo "the order desk ran it $(get "$(service_of 0)/log" | grep -c lot-17) time"
echo "== router 2 is killed; the other routers still serve"
kill_router 2
for i in 0 1 3 4 5 6 7; do
	send_request t-w1 "$(caller_of $i)/v1/chat/completions" -d "$(chat_body false 16 "after the kill $i tokens=3")" | grep -q 'Outcome: done' || fail "router $i does not answer"
done
echo "seven routers serve"
echo "== burn rates of the service-level objectives"
"$BIN/amaranthwall" report burn --settings "$(settings_of 0)" | grep -E 'service|5m|answer'
echo "== planned stop of all routers"
for i in 0 1 3 4 5 6 7; do kill -TERM "${ROUTER_PID[$i]}"; done
for i in 0 1 3 4 5 6 7; do wait "${ROUTER_PID[$i]}" || fail "router $i exited with $?"; done
echo "demo: good"
