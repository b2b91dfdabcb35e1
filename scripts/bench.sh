#!/bin/bash
# bench.sh full|quick: runs every policy on the same deployments and seeds, writes
# build/bench.json and prints a table of the results.  SEEDS, POLICIES and
# DEPLOYMENTS select the runs, PARALLEL sets how many run at a time (3).  BEFORE=DIR
# adds the binaries of an earlier version, shown as the policy "before".
set -u
cd "$(dirname "$0")/.."
mode=${1:-full}
if [ "$mode" = quick ]; then
	seeds=${SEEDS:-1}
	policies=${POLICIES:-fleet fixed least}
	deployments=${DEPLOYMENTS:-ligas}
else
	seeds=${SEEDS:-1 2 3 4 5}
	policies=${POLICIES:-fleet fixed least forward}
	deployments=${DEPLOYMENTS:-ligas mesob}
fi
[ -n "${BEFORE:-}" ] && policies="$policies before"
make --no-print-directory build/summary >/dev/null || exit 1
out=build/bench
rm -rf $out
mkdir -p $out
n=0
for seed in $seeds; do
	for d in $deployments; do
		for p in $policies; do
			echo "$d $p $seed $((20000 + n % 8 * 700))"
			n=$((n + 1))
		done
	done
done >$out/list
xargs -a $out/list -P "${PARALLEL:-3}" -L 1 bash -c '
	policy=$1 bin=build
	[ "$1" = before ] && policy=fleet bin=$BEFORE
	BIN=$bin RUN='$out'/$0-$1-$2.run BASE=$3 bash bench/run.sh $0 $policy $2 '$out'/$0-$1-$2.json 2>'$out'/$0-$1-$2.err
	[ "$1" = before ] && sed -i "s/\"policy\":\"fleet\"/\"policy\":\"before\"/" '$out'/$0-$1-$2.json
	rm -rf '$out'/$0-$1-$2.run
'
build/summary build/bench.json $out/*.json
