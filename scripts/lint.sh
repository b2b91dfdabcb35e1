#!/bin/bash
# Checks the format and runs clang-tidy and cppcheck.  Exits 0 when nothing is found,
# else 1 with the findings.
set -u
cd "$(dirname "$0")/.."
code=0
files=$(git ls-files 'src/*.c' 'standin/*.c' 'load/*.c' 'bench/*.c' 'examples/*.c' 'platform/*.c')
headers=$(git ls-files '*.h')
clang-format --dry-run -Werror $files $headers $(git ls-files 'tests/*.c') || code=1
flags="-std=gnu11 -D_GNU_SOURCE -Isrc -I. $(pkg-config --cflags neon libmicrohttpd libzmq glib-2.0 yajl libxxhash)"
printf '%s\n' $files | xargs -P "$(nproc)" -n 8 sh -c 'clang-tidy --quiet "$@" -- '"$flags"' 2>/dev/null' sh || code=1
cppcheck --quiet --std=c11 --enable=warning,performance,portability --inline-suppr --error-exitcode=1 \
	--suppress=missingIncludeSystem -Isrc -I. \
	--include=scripts/cppcheck-lists.h \
	$files || code=1
scripts/check_formats.sh || code=1
[ $code = 0 ] && echo "lint: clean"
exit $code
