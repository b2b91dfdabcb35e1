#!/bin/bash
# Runs tests/process/promises.sh for a number of rounds, each with up to three failures
# drawn at random.  Prints for each round the comparison of the callers' results with
# the stand-ins' logs ("join").  SEED (1) and ROUNDS (6) may be set.
set -u
cd "$(dirname "$0")/.."
faults=(kill freeze cut store-down store-slow store-loses engine-cuts engine-crosses endpoint-loses endpoint-slow refuse overload stop silent)
RANDOM=${SEED:-1}
rounds=${ROUNDS:-6}
bad=0
for round in $(seq "$rounds"); do
	a=${faults[$((RANDOM % ${#faults[@]}))]}
	b=${faults[$((RANDOM % ${#faults[@]}))]}
	c=${faults[$((RANDOM % ${#faults[@]}))]}
	mix=$(printf '%s\n' "$a" "$b" "$c" | sort -u | paste -sd+)
	# promises.sh kills and stops the same routers: one of the two is enough.
	case $mix in *kill*stop*) mix=${mix/+stop/} ;; esac
	log=$(mktemp)
	if BIN=build bash tests/process/promises.sh "$mix" "$((RANDOM % 1000))" >"$log" 2>&1; then result=good; else result=BROKEN; bad=$((bad + 1)); fi
	echo "round $round $mix: $result $(grep -m1 '"join"' "$log")"
	[ $result = good ] || tail -5 "$log"
	rm -f "$log"
done
echo "soak: $rounds rounds, $bad broken"
[ $bad = 0 ]
