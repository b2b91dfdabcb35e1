#!/bin/bash
# Runs promises.sh with routers, stand-ins and load tool built with ThreadSanitizer; fails on
# any race that it reports.
# cases: calm kill+store-loses cut+engine-cuts
set -u
cd "$(dirname "$0")/../.."
export BIN=build-tsan
export G_SLICE=always-malloc # GLib's slice allocator hides the locking from ThreadSanitizer
export TSAN_OPTIONS="suppressions=$PWD/tests/tsan.supp history_size=4"
RUN=${RUN:-$(mktemp -d)}
export RUN
bash tests/process/promises.sh "${1:-calm}" || exit 1
if grep -l "WARNING: ThreadSanitizer" "$RUN"/*.log "$RUN"/load.err; then
	grep -h -A 12 "WARNING: ThreadSanitizer" "$RUN"/*.log "$RUN"/load.err | head -40
	exit 1
fi
