#!/bin/bash
# Under full load, kills a router at 5 s, cuts it off from its peers for 3 s, or
# restarts it.  Prints the share of slots in use in each half second, and when
# that share is back within a tenth of the value before.  BASE sets the first port.
set -u
cd "$(dirname "$0")/.."
BIN=build
. scripts/fleet.sh
windows=$(for t in $(seq 3000 500 14500); do echo "--span t$t:$t:$((t + 500))"; done)
for fault in none kill cut restart; do
	(
		BASE=${BASE:-24000}
		fleet_init
		trap stop_all EXIT
		start_platform
		start_engines 10 --slots 8 --token-us 10000
		start_services 1
		DEADLINE_MS=4000 LONG_COST=150 fleet_up pattern desk 8 8 4 2 1 1 || exit 1
		{
			echo '{"streams":['
			for w in 0 1 2 3; do
				[ $w = 0 ] || echo ,
				echo "{\"name\":\"s$w\",\"workspace\":\"w$w\",\"token\":\"t-w$w\",\"kind\":\"stream\",\"model\":\"pattern\",\"rate\":45,\"tokens\":60,\"sigma\":0.4,\"max_tokens\":150,\"deadline_ms\":3000,\"retries\":2}"
			done
			echo ']}'
		} >"$RUN/p.json"
		build/amaranthwall-load --profile "$RUN/p.json" --routers "$(all_callers)" --standins "$(engine_of 0),$(service_of 0)" \
			--seconds 15 --seed 1 $windows >"$RUN/load.json" 2>"$RUN/load.err" &
		load=$!
		cut_peers() { curl -s -m 3 -X POST -H "Authorization: Bearer $TOKEN" "http://$(operator_of 3)/cut?peer=all$1" >/dev/null; }
		sleep 5.05
		case $fault in
		kill) kill_router 3 2>/dev/null ;;
		cut) cut_peers ""; sleep 3; cut_peers "&join=1" ;;
		restart) kill_router 3 2>/dev/null; start_router 3 ;;
		esac
		wait $load
		used=$(sed -n 's/.*"utilisation": \([0-9.]*\).*/\1/p' "$RUN/load.json")
		echo "$fault: $(echo $used)"
		echo $used | awk -v f="$fault" '{
			for (i = 1; i <= 4; i++) before += $i / 4
			back = 5
			for (i = 5; i <= NF; i++) if ($i < 0.9 * before) back = i + 1
			printf "%s: %.3f before, lowest %.3f after, back within a tenth after %.1f s\n", f, before, lowest(), (back - 5) * 0.5
		} function lowest(   i, m) { m = 9; for (i = 5; i <= NF; i++) if ($i < m) m = $i; return m }'
		grep '"join"' "$RUN/load.json"
	)
done
