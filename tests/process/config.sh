#!/bin/bash
# Four operators change the fleet configuration concurrently, 50 times each. Every change must
# end as accepted, as a conflict, or (when the store's reply is lost) as unknown, and the
# history must agree with the results reported to the operators. The last accepted version must be
# applied by all routers within 12 s, and no router may apply an older version after a
# newer one. Guards against lost updates and against routers that fall back or stay behind.
# lost-replies: the store drops 25% of the replies to transactions; restart-in-outage: router 6
# restarts while the platform is down; cut-off: routers 3 and 4 get no messages from the others;
# down-at-once: the platform goes down right after it accepted the last change.
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
fleet_up pattern desk 2 2 1 1 || fail "the fleet did not become ready"

operator() { # NUMBER: reads, changes and puts the configuration; appends each result to results-NUMBER
	local i version out code
	for i in $(seq $puts); do
		version=$("$BIN/amaranthwall" fleet get --settings "$(settings_of "$1")" 2>&1 >"$RUN/op-$1.json" | sed -n 's/^version //p')
		[ -n "$version" ] || continue
		echo "// operator $1 change $i" >>"$RUN/op-$1.json"
		code=0
		out=$("$BIN/amaranthwall" fleet put "$RUN/op-$1.json" --settings "$(settings_of "$1")" --expect "$version" 2>&1) || code=$?
		echo "$code $1 $i $out" >>"$RUN/results-$1"
	done
}

case $case in
lost-replies) platform_control '{"lose_per_mille":250,"seed":5}' ;;
cut-off) for r in 3 4; do curl -s -m 3 -X POST -H "Authorization: Bearer $TOKEN" "http://$(operator_of $r)/cut?peer=all" >/dev/null; done ;;
esac
for n in 0 1 2 3; do operator $n & ops[$n]=$!; done
for n in 0 1 2 3; do wait "${ops[$n]}"; done
platform_control '{"lose_per_mille":0}'

cat "$RUN"/results-* >"$RUN/results"
accepted=$(grep -c '^0 ' "$RUN/results")
conflicts=$(grep -c '^3 ' "$RUN/results")
unknown=$(grep -c '^4 ' "$RUN/results")
echo "accepted $accepted, conflicts $conflicts, unknown $unknown of $(wc -l <"$RUN/results")"
[ $((accepted + conflicts + unknown)) = "$(wc -l <"$RUN/results")" ] || fail "unexpected result: $(grep -v '^[034] ' "$RUN/results" | head -2)"
# The history has each accepted version exactly once, with that operator's change.
"$BIN/amaranthwall" fleet history --settings "$(settings_of 0)" >"$RUN/history"
last=$(tail -n 1 "$RUN/history" | sed 's/version=\([0-9]*\) .*/\1/')
[ "$(wc -l <"$RUN/history")" = "$last" ] || fail "the history lacks versions: $(wc -l <"$RUN/history") entries, last version $last"
sed -n 's/^0 .*accepted as version \([0-9]*\).*/\1/p' "$RUN/results" | sort -n | uniq -d | grep . && fail "the same version was reported as accepted to two operators"
[ $((last - 1)) -ge "$accepted" ] && [ $((last - 1)) -le $((accepted + unknown)) ] || fail "last version $last does not match $accepted accepted and $unknown unknown changes"
while read -r code op i rest; do
	version=${rest##* }
	[ "$code" = 0 ] || continue
	curl -s "http://$PLATFORM/table/row?key=fleet%2Fhistory%2F$(printf '%012d' "$version")" | grep -q "operator $op change $i" ||
		fail "version $version is not the change $i of operator $op"
done <"$RUN/results"
while read -r code op i rest; do
	[ "$code" = 3 ] || continue
	curl -s "http://$PLATFORM/table/scan?prefix=fleet%2Fhistory" | grep -q "// operator $op change $i\\\\n\"" && fail "change $i of operator $op was reported as a conflict, but the history has it"
done < <(grep '^3 ' "$RUN/results" | head -20)

if [ "$case" = down-at-once ]; then
	"$BIN/amaranthwall" fleet get --settings "$(settings_of 0)" >"$RUN/last.json" 2>/dev/null
	echo "// the last change" >>"$RUN/last.json"
	"$BIN/amaranthwall" fleet put "$RUN/last.json" --settings "$(settings_of 0)" --expect "$last" ||
		fail "the last change was not accepted"
	platform_control '{"down":true}'
	last=$((last + 1))
fi
if [ "$case" = restart-in-outage ]; then
	platform_control '{"down":true}'
	kill_router 6
	start_router 6
fi
applied_everywhere() { local r; for r in $(seq 0 $((ROUTERS - 1))); do [ "$(config_version "$r")" = "$last" ] || return 1; done; }
start=$(date +%s%3N)
wait_for 12 applied_everywhere || fail "not all routers have applied version $last"
echo "all routers applied version $last $(($(date +%s%3N) - start)) ms after the last change"
for r in $(seq 0 $((ROUTERS - 1))); do
	[ "$case" = restart-in-outage ] && [ "$r" = 6 ] && continue # its log has two runs
	sed -n 's/.*event=text-applied version=//p' "$RUN/router-$r.log" >"$RUN/applied-$r"
	sort -n -c -u "$RUN/applied-$r" || fail "router $r applied an older version after a newer one"
done
echo "$case: passed"
