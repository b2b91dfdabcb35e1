#!/bin/bash
# profile.sh DEPLOYMENT: prints a load profile of 16 workspaces.  Three of them are
# large, the load is spread unevenly over the routers, request costs are
# heavy-tailed and the request rates change with time.
#
# Phases in ms (bench/run.sh summarizes each by a --span):
#   1000-3000   calm
#   3000-5000   peak: the large workspaces send 3 times as much at once (--span crest)
#   6000-8500   bench/run.sh slows two in ten replicas
#   9000-11500  calm, with rare very long requests (stragglers)
#   11500-18000 all workspaces are backlogged
deployment=$1
case $deployment in
ligas) model=pattern; weights=(8 4 4 2 2 1 1 1 1 1 1 1 1 1 1 1); unit=1.0 ;;
mesob) model=advisor; weights=(6 6 3 2 1 1 1 1 1 1 1 1 1 1 1 1); unit=1.0 ;;
esac
echo '{"streams": ['
comma=
for w in $(seq 0 15); do
	weight=${weights[$w]}
	case $w in
	0) routers="0,1,2,3,4,5,6,7" ;;
	1) routers="0,1,2" ;;
	2) routers="1,2" ;;
	[3-8]) routers="3" ;;
	9 | 1[0-2]) routers="3,4" ;;
	*) routers="5,6" ;;
	esac
	common="\"workspace\": \"w$w\", \"token\": \"t-w$w\", \"weight\": $weight, \"model\": \"$model\", \"routers\": [$routers]"
	peak="{\"from_ms\": 3000, \"to_ms\": 5000, \"factor\": 3}"
	peak_if_large=
	[ "$w" -lt 3 ] && peak_if_large="$peak, "
	draft=$(awk "BEGIN{print 1.6 * $weight * $unit}")
	quick=$(awk "BEGIN{print 1.8 * $weight * $unit}")
	echo "$comma{\"name\": \"draft-w$w\", \"class\": \"draft\", $common, \"kind\": \"stream\", \"rate\": $draft, \"tokens\": 50, \"sigma\": 0.6, \"max_tokens\": 150, \"prefixes\": 4, \"deadline_ms\": 4000, \"swing\": [$peak_if_large{\"from_ms\": 11500, \"to_ms\": 18000, \"factor\": 4}]}"
	comma=,
	class=quick-small
	[ "$w" -lt 3 ] && class=quick-large
	echo ",{\"name\": \"quick-w$w\", \"class\": \"$class\", $common, \"kind\": \"stream\", \"rate\": $quick, \"tokens\": 6, \"sigma\": 0.4, \"max_tokens\": 32, \"deadline_ms\": 4000, \"swing\": [$peak_if_large{\"from_ms\": 11500, \"to_ms\": 18000, \"factor\": 3}]}"
done
# Stragglers: rare requests, many times longer than all others.
for w in 0 1; do
	echo ",{\"name\": \"straggler-w$w\", \"class\": \"straggler\", \"workspace\": \"w$w\", \"token\": \"t-w$w\", \"weight\": ${weights[$w]}, \"model\": \"$model\", \"kind\": \"stream\", \"rate\": 3, \"tokens\": 600, \"max_tokens\": 2000, \"deadline_ms\": 4000, \"routers\": [0,1,2,3,4,5,6,7], \"swing\": [{\"from_ms\": 0, \"to_ms\": 8500, \"factor\": 0}, {\"from_ms\": 11000, \"to_ms\": 100000, \"factor\": 0}]}"
done
echo ']}'
