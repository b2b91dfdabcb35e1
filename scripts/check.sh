#!/bin/bash
# Runs every test: the cmocka programs under the sanitizers, the embedding example, the
# fuzzers, the process tests and the demo.  A failure that KNOWN-RED.txt lists is printed, but does not
# fail the run.  The last line prints how many passed and failed.
#
#   ONLY      name of one test to run; for the process tests, a pattern
#   PARALLEL  number of process tests that run at a time (3)
set -u
cd "$(dirname "$0")/.."
passed=0
failed=0
known=0
jobs=$(nproc)

is_known_red() { [ -f KNOWN-RED.txt ] && grep -q "^$1 " KNOWN-RED.txt; }

# record_result NAME CODE LOG: counts and prints the result of one test.
record_result() {
	if [ "$2" = 0 ]; then
		passed=$((passed + 1))
		echo "ok    $1"
	elif is_known_red "$1"; then
		known=$((known + 1))
		echo "RED   $1 (known): $(grep "^$1 " KNOWN-RED.txt)"
	else
		failed=$((failed + 1))
		echo "FAIL  $1"
		tail -40 "$3"
	fi
}

# run NAME COMMAND...: runs one test, unless ONLY names another.
run() {
	local name=$1 log code=0
	shift
	[ -n "${ONLY:-}" ] && [ "$ONLY" != "$name" ] && return
	log=$(mktemp)
	"$@" >"$log" 2>&1 || code=$?
	record_result "$name" "$code" "$log"
	rm -f "$log"
}

asan="-fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer"
tsan="-fsanitize=thread"
make --no-print-directory -j"$jobs" BUILD=build-asan SAN="$asan" build test-programs build-asan/embed >/tmp/amaranthwall-build.$$ 2>&1 ||
	{ cat /tmp/amaranthwall-build.$$; echo "0 passed, 1 failed"; exit 1; }
make --no-print-directory -j"$jobs" BUILD=build-tsan SAN="$tsan" build test-programs >/tmp/amaranthwall-build.$$ 2>&1 ||
	{ cat /tmp/amaranthwall-build.$$; echo "0 passed, 1 failed"; exit 1; }
rm -f /tmp/amaranthwall-build.$$

export UBSAN_OPTIONS=print_stacktrace=1
export G_SLICE=always-malloc # GLib's slice allocator hides the locking from the race detector
export TSAN_OPTIONS="suppressions=$PWD/tests/tsan.supp history_size=4"
for t in tests/test_*.c; do
	name=$(basename "$t" .c)
	run "$name" "build-asan/$name"
	grep -q '^/\* threaded' "$t" && run "$name-tsan" "build-tsan/$name"
done
run embed build-asan/embed
run formats scripts/check_formats.sh
run fuzz-message scripts/fuzz.sh message
run fuzz-text scripts/fuzz.sh text
run fuzz-events scripts/fuzz.sh events
run fuzz-http scripts/fuzz.sh http
run fuzz-decode scripts/fuzz.sh decode
run fuzz-note scripts/fuzz.sh note
run fuzz-rows scripts/fuzz.sh rows
# A process test lists its cases in a line "# cases: a b".  Each case runs as a
# process of its own with its own range of ports; PARALLEL cases run at a time.
run_process_tests() {
	local dir base=20000 t name c
	dir=$(mktemp -d)
	for t in tests/process/*.sh; do
		name=$(basename "$t" .sh)
		for c in $(sed -n 's/^# cases: //p' "$t" | tr ' ' '\n' | grep . || echo -); do
			echo "$t $c $base $dir/$name${c/#-/}${c:+-$c}"
			base=$((base + 600 < 32000 ? base + 600 : 20000))
		done
	done >"$dir/list"
	[ -z "${ONLY:-}" ] || { grep -- "$ONLY" "$dir/list" >"$dir/some"; mv "$dir/some" "$dir/list"; }
	xargs -a "$dir/list" -P "${PARALLEL:-3}" -L 1 bash -c '
		code=0
		BASE=$2 RUN=$3.run BIN=build-asan bash "$0" "${1/#-/}" >"$3.log" 2>&1 || code=$?
		echo $code >"$3.code"
	'
	while read -r t c base out; do
		record_result "$(basename "$t" .sh)${c:+ $c}" "$(cat "$out.code")" "$out.log"
	done <"$dir/list"
	rm -rf "$dir"
}
run_process_tests
run demo scripts/demo.sh
[ $known = 0 ] || echo "$known known failures, see KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ $failed = 0 ]
