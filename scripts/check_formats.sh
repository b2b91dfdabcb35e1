#!/bin/bash
# Fails where product code writes a text of any length into a buffer of fixed size without a bound,
# or uses the result of snprintf(), which may exceed the buffer, as an offset.
set -u
cd "$(dirname "$0")/.."
found=$(grep -nE '\b(sprintf|vsprintf|strcpy|strcat|stpcpy|gets)\(|=\s*(g_)?v?snprintf\(|\+=?\s*(g_)?v?snprintf\(' \
	src/*/*.[ch] platform/*.[ch])
[ -z "$found" ] && echo "formats: clean" && exit 0
echo "$found"
exit 1
