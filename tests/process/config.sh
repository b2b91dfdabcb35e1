#!/bin/bash
# Two hundred changes by four racing operators: each ends as accepted or as a
# conflict and that is true; what was accepted comes into force everywhere and
# no router ever goes back.
# cases: race lost-replies restart-in-outage cut-off down-at-once
set -u
cd "$(dirname "$0")/../.."
BIN=${BIN:-build-asan}
. scripts/fleet.sh
fleet_init
trap stop_all EXIT
case=${1:-race}
puts=50
fail() { echo "$case: $*"; for l in "$RUN"/*.log; do tail -n 3 "$l"; done; exit 1; }

start_platform
start_engines 1 --slots 2
start_services 1 --slots 2
fleet_up pattern desk 2 2 1 1 || fail "the fleet did not come up"

operator() { # NUMBER: reads, changes, puts; writes what it was told
	local i version out code
	for i in $(seq $puts); do
		version=$("$BIN/amaranthwall" fleet get --settings "$(settings_of "$1")" 2>&1 >"$RUN/op-$1.json" | sed -n 's/^version //p')
		[ -n "$version" ] || continue
		echo "// operator $1 change $i" >>"$RUN/op-$1.json"
		code=0
		out=$("$BIN/amaranthwall" fleet put "$RUN/op-$1.json" --settings "$(settings_of "$1")" --expect "$version" 2>&1) || code=$?
		echo "$code $1 $i $out" >>"$RUN/told-$1"
	done
}

case $case in
lost-replies) platform_control '{"lose_per_mille":250,"seed":5}' ;;
cut-off) for r in 3 4; do curl -s -m 3 -X POST -H "Authorization: Bearer $TOKEN" "http://$(operator_of $r)/cut?peer=all" >/dev/null; done ;;
esac
for n in 0 1 2 3; do operator $n & ops[$n]=$!; done
for n in 0 1 2 3; do wait "${ops[$n]}"; done
platform_control '{"lose_per_mille":0}'

cat "$RUN"/told-* >"$RUN/told"
accepted=$(grep -c '^0 ' "$RUN/told")
conflicts=$(grep -c '^3 ' "$RUN/told")
unknown=$(grep -c '^4 ' "$RUN/told")
echo "accepted $accepted, conflicts $conflicts, unknown $unknown of $(wc -l <"$RUN/told")"
[ $((accepted + conflicts + unknown)) = "$(wc -l <"$RUN/told")" ] || fail "another answer: $(grep -v '^[034] ' "$RUN/told" | head -2)"
# Each accepted version stands in the history with that operator's change, once.
"$BIN/amaranthwall" fleet history --settings "$(settings_of 0)" >"$RUN/history"
last=$(tail -n 1 "$RUN/history" | sed 's/version=\([0-9]*\) .*/\1/')
[ "$(wc -l <"$RUN/history")" = "$last" ] || fail "the history has holes"
sed -n 's/^0 .*accepted as version \([0-9]*\).*/\1/p' "$RUN/told" | sort -n | uniq -d | grep . && fail "two were told the same version"
[ $((last - 1)) -ge "$accepted" ] && [ $((last - 1)) -le $((accepted + unknown)) ] || fail "history $last, accepted $accepted, unknown $unknown"
while read -r code op i rest; do
	version=${rest##* }
	[ "$code" = 0 ] || continue
	curl -s "http://$PLATFORM/table/row?key=fleet%2Fhistory%2F$(printf '%012d' "$version")" | grep -q "operator $op change $i" ||
		fail "version $version is not what operator $op put"
done <"$RUN/told"
while read -r code op i rest; do
	[ "$code" = 3 ] || continue
	curl -s "http://$PLATFORM/table/scan?prefix=fleet%2Fhistory" | grep -q "// operator $op change $i\\\\n\"" && fail "told conflict, but it stands: $op $i"
done < <(grep '^3 ' "$RUN/told" | head -20)

if [ "$case" = down-at-once ]; then
	"$BIN/amaranthwall" fleet get --settings "$(settings_of 0)" >"$RUN/last.json" 2>/dev/null
	echo "// the last change" >>"$RUN/last.json"
	"$BIN/amaranthwall" fleet put "$RUN/last.json" --settings "$(settings_of 0)" --expect "$last" ||
		fail "the last put was not accepted"
	platform_control '{"down":true}'
	last=$((last + 1))
fi
if [ "$case" = restart-in-outage ]; then
	platform_control '{"down":true}'
	kill_router 6
	start_router 6
fi
in_force() { local r; for r in $(seq 0 $((ROUTERS - 1))); do [ "$(text_version "$r")" = "$last" ] || return 1; done; }
start=$(date +%s%3N)
wait_for 12 in_force || fail "version $last is not in force everywhere"
echo "version $last in force everywhere $(($(date +%s%3N) - start)) ms after the last was accepted"
for r in $(seq 0 $((ROUTERS - 1))); do
	[ "$case" = restart-in-outage ] && [ "$r" = 6 ] && continue
	sed -n 's/.*event=text-applied version=//p' "$RUN/router-$r.log" >"$RUN/applied-$r"
	sort -n -c -u "$RUN/applied-$r" || fail "router $r went back"
done
echo "$case: good"
