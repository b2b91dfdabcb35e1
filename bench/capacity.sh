#!/bin/bash
# Measures how the costs of a router grow with the number of routers (the slopes
# in docs/CAPACITY.md): control traffic on the wire, CPU time and memory, at 7.3
# requests/s per router.  SIZES sets the numbers of routers, BASE the first port.
set -u
cd "$(dirname "$0")/.."
BIN=build
echo "routers requests_s_router wire_B_s_router messages_s_router cpu_percent_router rss_kb_router members_seen"
for n in ${SIZES:-4 8 16 32}; do
	(
		ROUTERS=$n
		BASE=${BASE:-23000}
		. scripts/fleet.sh
		fleet_init
		trap stop_all EXIT
		start_platform
		start_engines $((n * 2)) --slots 8 --token-us 10000 --prefill-us 0
		start_services 1
		DEADLINE_MS=10000 LONG_COST=400 fleet_up pattern desk 8 8 4 2 1 1 1 1 1 1 1 1 1 1 1 1 1 1 || exit 1
		{
			echo '{"streams":['
			for w in $(seq 0 15); do
				[ "$w" = 0 ] || echo ,
				echo "{\"name\":\"s$w\",\"workspace\":\"w$w\",\"token\":\"t-w$w\",\"kind\":\"stream\",\"model\":\"pattern\",\"rate\":$(awk "BEGIN{print 7.3*$n/16}"),\"tokens\":50,\"sigma\":0.5,\"max_tokens\":200}"
			done
			echo ']}'
		} >"$RUN/p.json"
		sum_metric() { local i s=0 v; for i in $(seq 0 $((n - 1))); do v=$(metric_of "$i" "$1"); s=$((s + ${v:-0})); done; echo $s; }
		# 100 ticks per second: ticks per second are per cent of a core.
		cpu_ticks() { local i s=0; for i in $(seq 0 $((n - 1))); do s=$((s + $(awk '{print $14+$15}' "/proc/${ROUTER_PID[$i]}/stat"))); done; echo $s; }
		total_rss_kb() { local i s=0; for i in $(seq 0 $((n - 1))); do s=$((s + $(awk '/VmRSS/{print $2}' "/proc/${ROUTER_PID[$i]}/status"))); done; echo $s; }
		build/amaranthwall-load --profile "$RUN/p.json" --routers "$(all_callers)" --seconds 12 --seed 1 >"$RUN/load.json" 2>/dev/null &
		load=$!
		sleep 3
		t0=$(date +%s%3N) w0=$(sum_metric peer_wire_bytes_total) m0=$(sum_metric peer_messages_sent_total) r0=$(sum_metric caller_requests_total) c0=$(cpu_ticks)
		sleep 7
		t1=$(date +%s%3N) w1=$(sum_metric peer_wire_bytes_total) m1=$(sum_metric peer_messages_sent_total) r1=$(sum_metric caller_requests_total) c1=$(cpu_ticks)
		memory=$(total_rss_kb)
		wait $load
		awk "BEGIN{s=($t1-$t0)/1000*$n; printf \"%d %.1f %.0f %.1f %.2f %.0f %s\n\", $n, ($r1-$r0)/s, ($w1-$w0)/s, ($m1-$m0)/s, ($c1-$c0)/s, $memory/$n, \"$(members_alive 0)\"}"
	)
done
