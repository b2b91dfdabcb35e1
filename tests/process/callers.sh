#!/bin/bash
# Callers that disconnect early, send slowly, send malformed or unauthorized requests, or use
# another workspace's idempotency key; a service whose dependency has no endpoint; random bytes or
# an unknown key on the peer port. Guards against slots that are never freed, callers that block
# others, crashes, tokens in the logs, and responses that go to the wrong caller.
# cases: dependency slow gone health hostile isolation peer-port
set -u
cd "$(dirname "$0")/../.."
BIN=${BIN:-build-asan}
ROUTERS=3
. scripts/fleet.sh
fleet_init
trap stop_all EXIT
case=${1:-gone}
fail() { echo "$case: $*"; for l in "$RUN"/*.log; do tail -n 5 "$l"; done; exit 1; }

start_platform
start_engines 1 --slots 4 --token-us 20000
start_services 1 --slots 4
[ "$case" = dependency ] && DEPENDS=1
fleet_up pattern desk 4 4 1 1 || fail "the fleet did not become ready"
router=$(caller_of 0)

# Number of requests that the engine is running.
running() { get "$(engine_of 0)/load" | sed -n 's/.*"now":\([0-9]*\).*/\1/p'; }
is_running() { [ "$(running)" = "$1" ]; }
chat() { printf '{"model":"pattern","stream":%s,"max_tokens":%s,"messages":[{"role":"user","content":"%s"}]}' "$1" "$2" "$3"; }
status() { curl -s -m 10 -o "$RUN/answer" -w '%{http_code}' "$@"; }
expect() { # STATUS ARGUMENTS...
	local want=$1 got
	shift
	got=$(status "$@")
	[ "$got" = "$want" ] || fail "expected status $want, got $got: $* $(cat "$RUN/answer")"
}
auth="Authorization: Bearer t-w0"
# Fails unless the router still serves a valid request.
still_serves() { expect 200 -H "$auth" "http://$router/v1/chat/completions" -d "$(chat false 8 'fit tokens=2')"; }

case $case in
gone)
	# Streams that would take 10 s; their callers disconnect after 0.5 s.
	for i in 1 2; do curl -s -m 0.5 -H "$auth" "http://$router/v1/chat/completions" -d "$(chat true 500 "long $i tokens=500")" >/dev/null & done
	wait_for 5 is_running 2 || fail "$(running) of 2 streams started"
	wait_for 3 is_running 0 || fail "$(running) requests still run after their callers disconnected"
	# The same without streaming: the router writes nothing to the caller until the end.
	for i in 1 2; do curl -s -m 0.5 -H "$auth" "http://$router/v1/chat/completions" -d "$(chat false 500 "whole $i tokens=500")" >/dev/null & done
	wait_for 5 is_running 2 || fail "$(running) of 2 requests started"
	wait_for 3 is_running 0 || fail "$(running) requests still run after their callers disconnected"
	disconnects_counted() { [ "$(metric_of 0 callers_gone_total)" -ge 2 ]; }
	wait_for 5 disconnects_counted || fail "callers_gone_total is $(metric_of 0 callers_gone_total), expected at least 2"
	;;
health)
	# Callers that disconnect say nothing of the endpoint: it stays in service. Eight failures in
	# a row would take it out of service for 8 s.
	for round in 1 2; do
		for i in 1 2 3 4; do curl -s -m 2 -H "$auth" "http://$router/v1/chat/completions" -d "$(chat false 150 "left $round $i tokens=150")" >/dev/null & done
		wait_for 5 is_running 4 || fail "$(running) of 4 requests started in round $round"
		wait_for 5 is_running 0 || fail "$(running) requests still run after their callers disconnected"
	done
	expect 200 -H "$auth" -H "X-Deadline-Ms: 5000" "http://$router/v1/chat/completions" -d "$(chat false 8 'next tokens=2')"
	grep 'event=endpoint-failed' "$RUN/router-0.log" && fail "a disconnect counts as a failure of the endpoint"
	;;
dependency)
	# The model depends on the service "desk": without a desk endpoint the router rejects the
	# request at once and reports that it was not run.
	still_serves
	list_instance desk-0 "$(service_of 0)" leaving
	chat_status() { [ "$(status -H "$auth" "http://$router/v1/chat/completions" -d "$(chat false 8 'fit tokens=2')")" = "$1" ]; }
	wait_for 10 chat_status 503 || fail "no status 503 while the dependency has no endpoint"
	grep -q '"type":"dependency".*"outcome":"not-run"' "$RUN/answer" || fail "unexpected response: $(cat "$RUN/answer")"
	list_instance desk-0 "$(service_of 0)" live
	wait_for 10 chat_status 200 || fail "no status 200 after the dependency got an endpoint again"
	;;
slow)
	# Request headers that never end: the idle timeout closes these 30 connections (of at most
	# 40), and another caller is served meanwhile.
	sed -i 's/"store_timeout_ms"/"idle_timeout_ms": 1000, "max_connections": 40, "store_timeout_ms"/' "$(settings_of 1)"
	kill_router 1
	start_router 1
	wait_ready 1 || fail "router 1 is not ready"
	router=$(caller_of 1)
	for i in $(seq 30); do (exec 3<>"/dev/tcp/127.0.0.1/${router#*:}" && printf 'POST / HTTP/1.1\r\nHost: x' >&3 && cat <&3 >/dev/null; echo cut >>"$RUN/slow") & done
	still_serves
	all_closed() { [ "$(wc -l <"$RUN/slow")" = 30 ]; }
	wait_for 10 all_closed || fail "$(wc -l <"$RUN/slow") of 30 slow connections were closed"
	;;
hostile)
	url="http://$router/v1/chat/completions"
	expect 401 "$url" -d "$(chat false 8 x)"
	expect 401 -H "Authorization: Bearer no-such-token" "$url" -d "$(chat false 8 x)"
	expect 401 -H "Authorization: Basic dDp0" "$url" -d "$(chat false 8 x)"
	expect 400 -H "$auth" "$url" -d 'no json'
	expect 400 -H "$auth" "$url" -d '{"model":"pattern"}'
	expect 400 -H "$auth" "$url" -d '{"model":"pattern","messages":[],"max_tokens":8}'
	expect 400 -H "$auth" "$url" -d '{"model":"pattern","messages":{"role":"user"},"max_tokens":8}'
	expect 400 -H "$auth" "$url" -d "$(chat false -1 x)"
	expect 400 -H "$auth" "$url" -d '{"model":"pattern","model":"pattern"}'
	expect 400 -H "$auth" "$url" -d "$(printf '[%.0s' $(seq 5000))"
	expect 404 -H "$auth" "$url" -d '{"model":"no-such","messages":[{"content":"x"}]}'
	expect 404 -H "$auth" "http://$router/nowhere"
	expect 400 -H "$auth" -H "X-Deadline-Ms: -5" "$url" -d "$(chat false 8 x)"
	expect 400 -H "$auth" -H "X-Deadline-Ms: soon" "$url" -d "$(chat false 8 x)"
	expect 400 -H "$auth" "http://$router/orders" -d '{}'
	expect 400 -H "$auth" -H "Idempotency-Key: $(printf 'k%.0s' $(seq 300))" "http://$router/orders" -d '{}'
	head -c 5000000 /dev/zero | tr '\0' 'x' >"$RUN/large"
	expect 413 -H "$auth" "$url" --data-binary @"$RUN/large"
	expect 431 -H "$auth" -H "X-Long: $(head -c 60000 /dev/zero | tr '\0' 'x')" "$url" -d "$(chat false 8 x)"
	expect 401 "http://$(operator_of 0)/fleet/text"
	expect 401 -X POST "http://$(operator_of 0)/cut?peer=all"
	expect 404 "http://$(operator_of 0)/nowhere"
	for i in $(seq 20); do head -c 2000 /dev/urandom >"/dev/tcp/127.0.0.1/${router#*:}" 2>/dev/null; done
	grep -l 't-w0\|no-such-token' "$RUN"/router-*.log && fail "a log contains a token"
	;;
isolation)
	url="http://$router/orders"
	expect 200 -H "$auth" -H "Idempotency-Key: same" "$url" -d '{"lot":1}'
	cp "$RUN/answer" "$RUN/first"
	expect 200 -H "Authorization: Bearer t-w1" -H "Idempotency-Key: same" "$url" -d '{"lot":2}'
	cmp -s "$RUN/answer" "$RUN/first" && fail "a workspace got the response of another workspace"
	expect 422 -H "$auth" -H "Idempotency-Key: same" "http://$(caller_of 1)/orders" -d '{"lot":3}'
	expect 200 -H "$auth" -H "Idempotency-Key: same" "http://$(caller_of 2)/orders" -d '{"lot":1}'
	cmp -s "$RUN/answer" "$RUN/first" || fail "the retry got a different response"
	[ "$(get "$(service_of 0)/log" | wc -l)" = 2 ] || fail "the service ran $(get "$(service_of 0)/log" | wc -l) orders, expected 2"
	;;
peer-port)
	# Random bytes, and a router with a valid configuration whose key is unknown to the others.
	for i in $(seq 20); do head -c 3000 /dev/urandom >"/dev/tcp/127.0.0.1/$((BASE + 300))" 2>/dev/null; done
	"$BIN/amaranthwall" keygen >"$RUN/foreign-key"
	sed -e "s/\"name\": \"router-1\", \"failure/\"name\": \"router-9\", \"failure/" "$(settings_of 1)" |
		sed -e "s/$(caller_of 1)/127.0.0.1:$((BASE + 190))/; s/$(operator_of 1)/127.0.0.1:$((BASE + 290))/; s/$(peer_of 1)/127.0.0.1:$((BASE + 390))/" |
		sed -e "/^\"public_key\"/d; /^\"secret_key\"/d" -e "/store_timeout/r $RUN/foreign-key" >"$RUN/foreign.json"
	"$BIN/amaranthwall" router --settings "$RUN/foreign.json" 2>"$RUN/foreign.log" &
	PIDS+=($!)
	refused() { [ "$(metric_of 0 peer_keys_refused_total)" -gt 0 ]; }
	wait_for 10 refused || fail "the unknown key was not refused"
	[ "$(members_alive 0)" = "$ROUTERS" ] || fail "$(members_alive 0) members, expected $ROUTERS"
	;;
esac
still_serves
for l in "$RUN"/router-*.log; do grep -q "AddressSanitizer\|runtime error" "$l" && fail "a sanitizer reported an error in $l"; done
echo "$case: passed"
